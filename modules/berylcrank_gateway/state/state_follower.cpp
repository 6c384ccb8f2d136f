#include "modules/berylcrank_gateway/state/state_follower.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::string_view source_name(record_source it) {
    return it == record_source::operators ? "operators" : "upstreams";
}

constexpr unsigned read_number_bits = 20; // bits of a read number that count the reads of one start
constexpr millis outage_window{700};      // after an outage, in which a removal may be a lapsed registration

} // namespace

std::string_view to_string(store_outcome it) {
    switch (it) {
    case store_outcome::ok:
        return "ok";
    case store_outcome::expired:
        return "expired";
    case store_outcome::refused:
        return "refused";
    case store_outcome::unavailable:
        return "unavailable";
    }
    return "unknown";
}

state_follower::state_follower(metadata_store& store, const clock& time, event_log& log,
                               follower_options options, std::uint64_t self, std::uint64_t incarnation,
                               const change_handler& changed, const keep_handler& keeps)
    : store_(store), time_(time), log_(log),
      options_(options), sources_{source_state{.table = make_table(record_source::operators, changed, keeps)},
                                  source_state{.table =
                                                   make_table(record_source::upstreams, changed, keeps)}},
      started_(time.now()), self_(self), last_read_number_(incarnation << read_number_bits) {}

record_table state_follower::make_table(record_source source, const change_handler& changed,
                                        const keep_handler& keeps) {
    return record_table(
        [this, source, changed](const state_record& it) {
            return changed(source, it, time_.now() < of(source).outage_window_end);
        },
        [source, keeps](const state_record& known, const state_record& restored) {
            return keeps && keeps(source, known, restored);
        });
}

bool state_follower::due(record_source source, std::size_t rank, instant now) const {
    const auto& it = of(source);
    if (it.reading || now < it.next_try) {
        return false;
    }
    const auto early_ranks = static_cast<std::size_t>(options_.early_ranks);
    const auto rank_delay = options_.rank_step * static_cast<double>(std::min(rank, early_ranks)) +
                            options_.late_rank_step * static_cast<double>(rank - std::min(rank, early_ranks));
    if (it.retry > millis{} && now < it.next_try + rank_delay) {
        return false; // after a failure, nodes of a higher rank retry less often
    }
    if (!it.table.complete()) {
        return now - started_ >=
               options_.first_read_delay + options_.first_read_step * static_cast<double>(rank);
    }
    if (it.table.epoch() < epoch_ && (rank == 0 || now - epoch_seen_at_ >= rank_delay)) {
        return true;
    }
    if (source == record_source::operators) {
        return rank == 0 || now - it.table.confirmed() >= options_.operators_poll_wait + rank_delay;
    }
    return now - it.table.confirmed() >= options_.upstreams_refresh_age + rank_delay;
}

void state_follower::tick(std::size_t rank, instant now) {
    for (const auto source : {record_source::operators, record_source::upstreams}) {
        if (due(source, rank, now)) {
            read(source, now);
        }
    }
}

void state_follower::read(record_source source, instant now) {
    auto& it = of(source);
    it.reading = true;
    const sent_read sent{
        .is_snapshot = it.needs_snapshot, .table_epoch = it.table.epoch(), .highest_epoch = epoch_};
    if (it.needs_snapshot) {
        store_.read_all(source, [this, source, now, sent](const store_read_result& response) {
            on_read_done(source, response, sent, now);
        });
        return;
    }
    const auto wait = source == record_source::operators ? options_.operators_poll_wait : millis{};
    store_.read_from(source, it.table.end(), wait,
                     [this, source, now, wait, sent](const store_read_result& response) {
                         on_read_done(source, response, sent,
                                      response.records.empty() ? std::min(now + wait, time_.now()) : now);
                     });
}

void state_follower::observe_epoch(std::uint64_t epoch, instant now) {
    if (epoch <= epoch_) {
        return;
    }
    if (complete()) {
        log_.line("store-restored").field("epoch", epoch).field("previous", epoch_).send();
    }
    epoch_ = epoch;
    epoch_seen_at_ = now;
    for (auto& it : sources_) {
        if (it.table.epoch() < epoch) {
            it.needs_snapshot = true;
            it.next_try = now;
        }
    }
}

void state_follower::count_invalid_epoch(const store_read_result& it) {
    if (++invalid_epochs_ == 1) {
        log_.line("store-epoch-invalid")
            .field("malformed", it.malformed_epoch)
            .field("epoch", it.epoch.value_or(0))
            .field("highest", epoch_)
            .send();
    }
}

// Returns the epoch of a result, or nothing for a late result of an older epoch. Only a result that was
// requested before the epoch increased can be late; otherwise the stated epoch is invalid, and the highest
// one is assumed.
std::optional<std::uint64_t> state_follower::settle_epoch(const store_read_result& it, const sent_read& sent,
                                                          instant now) {
    if (it.epoch) {
        observe_epoch(*it.epoch, now);
    }
    if (it.epoch == epoch_) {
        return epoch_;
    }
    const bool may_be_late = sent.highest_epoch < epoch_;
    if (it.malformed_epoch || (it.epoch && !may_be_late)) {
        count_invalid_epoch(it);
    }
    if (may_be_late && (it.malformed_epoch || it.epoch)) {
        ++late_results_;
        return std::nullopt;
    }
    return epoch_;
}

void state_follower::on_read_failed(record_source source, store_outcome outcome, instant now) {
    auto& it = of(source);
    it.retry = std::clamp(it.retry * 2, options_.first_retry, options_.max_retry);
    it.next_try = now + it.retry;
    set_store_lost(true, source, outcome);
}

void state_follower::on_read_done(record_source source, const store_read_result& response,
                                  const sent_read& sent, instant confirmed_at) {
    auto& it = of(source);
    const auto now = time_.now();
    it.reading = false;
    const auto epoch = settle_epoch(response, sent, now);
    if (!epoch) {
        return;
    }
    if (response.outcome == store_outcome::expired) {
        it.needs_snapshot = true;
        return;
    }
    if (response.outcome != store_outcome::ok) {
        on_read_failed(source, response.outcome, now);
        return;
    }
    if (response.unreadable > 0) {
        log_.line("records-unreadable")
            .field("source", source_name(source))
            .field("count", static_cast<std::uint64_t>(response.unreadable))
            .send();
    }
    it.retry = millis{};
    it.next_try = now;
    set_store_lost(false, source, response.outcome);
    if (!sent.is_snapshot && (it.needs_snapshot || sent.table_epoch != it.table.epoch())) {
        return; // the offset that was read from belongs to an older epoch
    }
    merge_read(it, response, *epoch, sent.is_snapshot, confirmed_at);
    if (response.more) {
        read(source, now);
    }
}

void state_follower::begin_epoch(source_state& it, const epoch_start& start,
                                 std::span<const state_record> records, instant confirmed_at) const {
    if (it.table.complete()) {
        it.outage_window_end =
            time_.now() + outage_window; // what a backup lacks may have registered after it
    }
    it.table.begin_epoch(start, records, confirmed_at);
}

void state_follower::merge_read(source_state& it, const store_read_result& response, std::uint64_t epoch,
                                bool is_snapshot, instant confirmed_at) {
    auto records = response.records;
    for (auto& record : records) {
        record.epoch = epoch;
    }
    const auto now = time_.now();
    detect_outage_end(it, now);
    if (epoch > it.table.epoch()) {
        begin_epoch(it, {.epoch = epoch, .end = response.end, .restored_end = response.end}, records,
                    confirmed_at);
    } else if (is_snapshot) {
        it.table.merge_snapshot(records, response.end, confirmed_at);
    } else {
        it.table.merge(records, response.end, confirmed_at);
    }
    it.needs_snapshot = false;
    it.reader = self_;
    it.read_number = ++last_read_number_;
    it.latest_reads[self_] = it.read_number;
}

void state_follower::detect_outage_end(source_state& it, instant now) const {
    if (it.table.complete() && now - it.table.confirmed() > options_.outage_threshold) {
        it.outage_window_end = now + outage_window;
    }
}

void state_follower::set_store_lost(bool lost, record_source source, store_outcome outcome) {
    if (store_lost_ == lost) {
        return;
    }
    store_lost_ = lost;
    log_.line(lost ? "store-lost" : "store-regained")
        .field("source", source_name(source))
        .field("outcome", to_string(outcome))
        .field("age_ms", age(source, time_.now()).count())
        .send();
}

bool state_follower::on_watermarks(const std::array<state_watermark, record_source_count>& watermarks,
                                   instant now) {
    bool behind = false;
    for (std::size_t i = 0; i < record_source_count; ++i) {
        auto& it = sources_[i];
        if (!watermarks[i].complete || watermarks[i].epoch < it.table.epoch()) {
            continue;
        }
        if (watermarks[i].epoch == it.table.epoch()) {
            it.table.lower_restored_end(watermarks[i].restored_end);
        }
        if (!it.table.complete() || it.table.epoch() < watermarks[i].epoch ||
            it.table.end() < watermarks[i].last_change_end) {
            behind = true;
        } else if (accept_confirmation(it, watermarks[i])) {
            detect_outage_end(it, now);
            it.table.extend(watermarks[i].last_change_end, watermarks[i].end,
                            now - watermarks[i].age - options_.message_delay);
        }
    }
    return behind;
}

bool state_follower::accept_confirmation(source_state& it, const state_watermark& watermark) const {
    auto& seen = it.latest_reads[watermark.reader];
    if (watermark.read_number <= seen) {
        return false;
    }
    seen = watermark.read_number;
    it.reader = watermark.reader;
    it.read_number = watermark.read_number;
    return true;
}

void state_follower::merge(const state_response& response, instant now) {
    for (std::size_t i = 0; i < record_source_count; ++i) {
        const auto& watermark = response[i].watermark;
        auto& it = sources_[i];
        if (!watermark.complete || watermark.epoch < it.table.epoch()) {
            continue;
        }
        detect_outage_end(it, now);
        const bool newer = accept_confirmation(it, watermark);
        const auto confirmed_at = newer ? now - watermark.age - options_.message_delay : it.table.confirmed();
        if (watermark.epoch > it.table.epoch()) {
            begin_epoch(
                it, {.epoch = watermark.epoch, .end = watermark.end, .restored_end = watermark.restored_end},
                response[i].records, confirmed_at);
            observe_epoch(watermark.epoch, now);
        } else {
            it.table.merge(response[i].records, watermark.end, confirmed_at);
        }
        it.needs_snapshot = it.table.epoch() < epoch_;
    }
}

state_response state_follower::state_since(const std::array<store_position, record_source_count>& from,
                                           instant now) const {
    state_response result;
    const auto own = watermarks(now);
    for (std::size_t i = 0; i < record_source_count; ++i) {
        result[i].watermark = own[i];
        if (own[i].complete) {
            result[i].records = sources_[i].table.since(from[i].epoch == own[i].epoch ? from[i].offset : 0);
        }
    }
    return result;
}

std::array<state_watermark, record_source_count> state_follower::watermarks(instant now) const {
    std::array<state_watermark, record_source_count> result;
    for (std::size_t i = 0; i < record_source_count; ++i) {
        const auto& table = sources_[i].table;
        result[i] = {.complete = table.complete(),
                     .end = table.end(),
                     .age = now - table.confirmed(),
                     .reader = sources_[i].reader,
                     .read_number = sources_[i].read_number,
                     .last_change_end = table.changed(),
                     .epoch = table.epoch(),
                     .restored_end = table.restored_end()};
    }
    return result;
}

std::array<store_position, record_source_count> state_follower::ends() const {
    std::array<store_position, record_source_count> result;
    for (std::size_t i = 0; i < record_source_count; ++i) {
        const auto& table = sources_[i].table;
        result[i] = {.epoch = table.epoch(), .offset = table.complete() ? table.end() : 0};
    }
    return result;
}

bool state_follower::complete() const {
    return std::all_of(sources_.begin(), sources_.end(), [](const auto& it) { return it.table.complete(); });
}

} // namespace berylcrank
