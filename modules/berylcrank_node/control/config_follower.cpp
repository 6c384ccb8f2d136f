#include "modules/berylcrank_node/control/config_follower.h"

namespace berylcrank {

namespace {

/** Minimum interval between two pulls. */
constexpr millis pull_interval{300};

/** A node that reached the log's end within this time plus one long poll reads new records from the log,
    not from peers. */
constexpr millis max_log_end_age{1000};

} // namespace

config_follower::config_follower(options it, log_service& log, peer_state_source& peers, const clock& time,
                                 shared_config::view_observer observer)
    : options_(it), log_(log), peers_(peers), clock_(time), tail_random_(it.seed), writer_random_(~it.seed),
      config_(std::move(observer)),
      tail_({.poll = it.poll, .gap_wait = it.gap_wait, .retry = it.retry, .page_records = it.page_records},
            log, config_, time, tail_random_),
      writer_({.retention = it.retention}, log, config_, time, writer_random_) {}

config_follower::~config_follower() {
    stop();
}

void config_follower::start() {
    tail_thread_ = std::thread([this] { run_tail(); });
    writer_thread_ = std::thread([this] { run_writer(); });
}

void config_follower::stop() {
    tail_signal_.stop();
    writer_signal_.stop();
    log_.cancel();
    for (auto* it : {&tail_thread_, &writer_thread_}) {
        if (it->joinable()) {
            it->join();
        }
    }
}

void config_follower::add_log_status(freshness_inputs& it) const {
    const auto log = tail_.log_status();
    it.log_end_read = log.last_end_read;
    it.log_responded = log.last_response;
    it.log_refused = log.last_refusal;
}

void config_follower::on_peer_state(std::uint64_t applied, std::uint64_t digest) {
    const auto it = view();
    const bool is_behind = applied > it->applied() && !is_log_current(clock_.now());
    const bool differs = applied == it->applied() && digest != it->digest();
    if (differs) {
        // States at the same offset differ only if one of them has a gap, so the full state is pulled.
        pull_full_state_.store(true);
    }
    if (is_behind || differs) {
        pull_requested_.store(true);
        writer_signal_.wake();
    }
}

void config_follower::propose(std::span<const holder_assignment> list) {
    writer_.propose(list);
    writer_signal_.wake();
}

void config_follower::run_tail() {
    while (!tail_signal_.is_stopped()) {
        const auto wait = tail_.step();
        update_ready();
        if (tail_.log_status().has_unread_gap) {
            pull_requested_.store(true);
            writer_signal_.wake();
        }
        if (wait > millis{0} && tail_signal_.wait(wait)) {
            return;
        }
    }
}

void config_follower::run_writer() {
    while (!writer_signal_.is_stopped()) {
        pull_if_requested();
        const auto wait = writer_.step(tail_.log_status(), is_log_current(clock_.now()));
        if (wait > millis{0} && writer_signal_.wait(wait)) {
            return;
        }
    }
}

void config_follower::pull_if_requested() {
    const auto now = clock_.now();
    if (!pull_requested_.load() || now.since_start().micros() < next_pull_micros_.load()) {
        return;
    }
    pull_requested_.store(false);
    next_pull_micros_.store((now + pull_interval).since_start().micros());
    const auto from = pull_full_state_.exchange(false) ? 0 : config_.first_missing();
    const auto delta = peers_.pull_delta(from, options_.pull_timeout);
    if (delta && config_.merge(*delta, tail_.log_status().has_unread_gap)) {
        pulls_.fetch_add(1);
        update_ready();
    }
}

void config_follower::update_ready() {
    if (ready_.load()) {
        return;
    }
    const auto log = tail_.log_status();
    const bool has_log_start = config_.first_missing() > 0 || (log.last_end_read && log.next_offset == 0);
    // If the first records of the log are lost, a configuration exists once operators have published a new
    // one.
    const bool has_upstreams = view()->upstream_count() > 0;
    const bool has_log_end = log.last_end_read.has_value() || pulls_.load() > 0;
    if (has_log_end && (has_log_start || has_upstreams)) {
        ready_.store(true);
    }
}

bool config_follower::is_log_current(instant now) const {
    const auto log = tail_.log_status();
    return log.last_end_read && now - *log.last_end_read <= max_log_end_age + options_.poll;
}

} // namespace berylcrank
