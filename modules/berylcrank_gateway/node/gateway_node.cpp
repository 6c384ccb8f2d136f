#include "modules/berylcrank_gateway/node/gateway_node.h"

#include "modules/berylcrank_balance/peers/registration_policy.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr millis sweep_interval{500}; // between checks for idle connections
// Time without a refusal after which a shortage of memory has ended, longer than the pauses of callers that
// retry.
constexpr millis shortage_end{10000};
constexpr millis rank_interval{50};     // between updates of this node's rank among the readers of the store
constexpr millis pause_threshold{1500}; // a longer gap between ticks is logged as a pause of the process
constexpr std::size_t max_state_response = 64U << 20U; // bytes of a response with records
constexpr millis startup_settle_time{500}; // in which a new node hears its cell before it takes over duties
constexpr millis default_bound{2000};      // within which the standard intervals of follower_options suffice
constexpr double bound_share = 0.5;        // of more or less time that goes into the interval of the reads
constexpr double min_interval_share = 0.4;

// Nodes read the store less often where the platform allows more time for its changes to take effect.
follower_options make_follower_options(const gateway_options& options) {
    const follower_options standard;
    const auto adapted = [](millis interval, millis bound) {
        return std::max(interval * min_interval_share, interval + (bound - default_bound) * bound_share);
    };
    follower_options result;
    result.operators_poll_wait = adapted(standard.operators_poll_wait, options.config_bound);
    result.upstreams_refresh_age = adapted(standard.upstreams_refresh_age, options.drain_bound);
    return result;
}

} // namespace

gateway_node::gateway_node(boost::asio::io_context& io, const clock& time, const wire_format& wire,
                           metadata_store& store, event_log& log, const gateway_options& options)
    : io_(io), time_(time), log_(log), store_(store), node_(io, time, wire, log, options, entropy()),
      gateway_(node_), prober_(io, node_),
      follower_(
          store, time, log, make_follower_options(options), node_.peers.self_number(),
          options.self.incarnation,
          [this](record_source source, const state_record& it, bool after_outage) {
              return apply_record(source, it, after_outage);
          },
          [this](record_source source, const state_record& known, const state_record& restored) {
              return keeps_record(source, known, restored);
          }),
      peer_client_(io, time, max_state_response), gossip_(io, options.self.ip, options.self.gossip_port, time,
                                                          [this](const node_message& it) { on_message(it); }),
      usage_transport_(gossip_, node_.peers, time), ready_handler_(node_, [this] { return ready(); }),
      directory_handler_(node_, [this] { return ready(); }), state_handler_(node_, follower_),
      control_handler_(
          node_, follower_, [this] { return gossip_.unreadable(); }, [this] { return gateway_.active(); }),
      timer_(io), started_(time.now()), last_tick_(started_) {
    memory_ = std::make_shared<memory_account>(memory_account::options_for(options.memory_bytes));
    caller_connections_ =
        std::make_shared<connection_limit>(connection_limit::options_for(options.max_descriptors));
    const auto listen = [&](const std::string& address, request_handler& handler,
                            bool uses_reserve) -> http_listener* {
        if (address.empty()) {
            return nullptr;
        }
        listeners_.push_back(std::make_unique<http_listener>(
            io, address,
            listener_context{time, handler,
                             [this]() -> const ingress_limits& { return node_.routes.limits(); }, memory_,
                             wire.headers().retry_after, caller_connections_, uses_reserve}));
        return listeners_.back().get();
    };
    node_.receive_messages = [this] { receive_messages(); };
    node_.usage_messages = &usage_transport_;
    usage_transport_.on_request = [this] { await_usage_messages(); };
    front_ = listen(options.front_address, gateway_, false);
    listen(options.ready_address, ready_handler_, true);
    listen(options.directory_address, directory_handler_, false);
    listen(options.control_address, control_handler_, true);
    listen(options.self.ip + ':' + std::to_string(options.self.gossip_port), state_handler_, true);
    if (is_large_deployment(options.store_writes_per_second)) {
        // A node that knew few others would take itself for one of a small deployment.
        node_.membership_valid_from = started_ + startup_settle_time;
    }
    log_.line("started")
        .field("front", options.front_address)
        .field("failure_domain", options.self.failure_domain)
        .field("incarnation", options.self.incarnation)
        .send();
    next_tick();
}

bool gateway_node::ready() const {
    // A node that has just started has no part of the usage caps and would refuse the requests they apply to.
    const bool can_use_caps = !node_.accounts.has_caps() || node_.usage.owner().has_lent();
    return !stopping_ && node_.routes.ready() && follower_.complete() && can_use_caps;
}

void gateway_node::next_tick() {
    timer_.expires_after(tick_interval.to_chrono());
    timer_.async_wait([this](const auto& ec) {
        if (ec) {
            return;
        }
        run_tick();
        next_tick();
    });
}

void gateway_node::run_tick() {
    try {
        tick(time_.now());
    } catch (const std::exception& error) {
        report_error(error.what());
    }
}

void gateway_node::report_error(std::string_view error) {
    node_.metrics.count_event("unexpected-error");
    log_.line("unexpected-error").field("error", error).send();
}

void gateway_node::detect_pause(instant now) {
    const auto gap = now - last_tick_;
    last_tick_ = now;
    if (gap <= pause_threshold) {
        return;
    }
    node_.on_resumed(now);
    node_.metrics.count_event("paused");
    log_.line("paused").field("for_ms", gap.count()).send();
}

void gateway_node::receive_messages() {
    detect_pause(time_.now()); // a request may arrive before the first tick after a pause
    gossip_.poll();
}

void gateway_node::report_memory(instant now) {
    node_.metrics.set_gauge("memory_charged_bytes", static_cast<double>(memory_->used()));
    node_.metrics.set_gauge("memory_refused", static_cast<double>(memory_->refused()));
    node_.metrics.set_gauge("memory_shed", static_cast<double>(memory_->shed()));
    const auto refusals = memory_->refused() + memory_->shed();
    if (refusals == memory_refusals_) {
        return;
    }
    if (memory_refusals_ == 0 || now - memory_short_at_ > shortage_end) {
        log_.line("memory-short")
            .field("charged_bytes", memory_->used())
            .field("connections", caller_connections_->used())
            .send();
    }
    memory_refusals_ = refusals;
    memory_short_at_ = now;
}

void gateway_node::report_connections(instant now) {
    const auto& it = *caller_connections_;
    node_.metrics.set_gauge("caller_connections", static_cast<double>(it.used()));
    node_.metrics.set_gauge("connections_closed_idle", static_cast<double>(it.closed_idle()));
    node_.metrics.set_gauge("connections_closed_stalled", static_cast<double>(it.closed_stalled()));
    const auto shortages = it.closed_idle() + it.closed_stalled() + it.waits();
    if (shortages == connection_shortages_) {
        return;
    }
    if (connection_shortages_ == 0 || now - connections_short_at_ > shortage_end) {
        log_.line("connections-short").field("connections", it.used()).send();
    }
    connection_shortages_ = shortages;
    connections_short_at_ = now;
}

void gateway_node::tick(instant now) {
    receive_messages();
    discover(now);
    tick_follower(now);
    node_.peers.set_ready(ready(), now);
    node_.upstreams.expire(now);
    exchange_messages(now);
    pull_state_if_due(now);
    tick_usage(now);
    prober_.tick(now);
    peer_client_.check_timeouts(now);
    gateway_.tick(now);
    for (const auto& it : listeners_) {
        it->retry_accept();
    }
    if (now >= next_sweep_) {
        next_sweep_ = now + sweep_interval;
        const bool close_idle = stopping_ && now - stop_started_ > min_stop_time;
        for (const auto& it : listeners_) {
            it->check_timeouts(now, close_idle && it.get() == front_);
        }
        node_.connections.expire();
        report_memory(now);
        report_connections(now);
    }
    if (ready() != was_ready_) {
        was_ready_ = ready();
        if (was_ready_) {
            node_.start.begin(now);
        }
        log_.line(was_ready_ ? "ready" : "not-ready").field("version", node_.routes.version()).send();
        next_hello_ = now;
    }
    check_stop(now);
    log_.flush();
}

void gateway_node::tick_follower(instant now) {
    if (follower_.complete()) {
        if (now >= next_rank_) {
            next_rank_ = now + rank_interval;
            reader_rank_ = node_.peers.reader_rank(follower_.store_lost(), now);
        }
        follower_.tick(reader_rank_, now);
    } else if (has_node_list_ || now - started_ > max_node_list_wait) {
        follower_.tick(node_.peers.rank_among_known(), now);
    }
}

void gateway_node::stop() {
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stop_started_ = time_.now();
    node_.peers.set_ready(false, stop_started_);
    node_.usage.stop();
    gateway_.stop(stop_started_, stop_started_ + node_.options.grace - stop_margin);
    next_hello_ = stop_started_;
    next_message_ = stop_started_;
    log_.line("stopping").field("active", static_cast<std::uint64_t>(gateway_.active())).send();
}

void gateway_node::check_stop(instant now) {
    if (!stopping_) {
        return;
    }
    const auto passed = now - stop_started_;
    const auto is_idle = [this] {
        return gateway_.active() == 0 && (front_ == nullptr || front_->connections() == 0);
    };
    const bool accepts_no_more =
        (is_idle() && passed > min_stop_time) || passed > node_.options.grace * accept_share;
    if (front_ != nullptr && accepts_no_more) {
        front_->stop_accepting();
    }
    if ((is_idle() && passed > min_stop_time) || passed > node_.options.grace - stop_margin) {
        log_.line("stopped")
            .field("after_ms", passed.count())
            .field("active", static_cast<std::uint64_t>(gateway_.active()))
            .send();
        gateway_.log_unfinished();
        log_.flush();
        io_.stop();
    }
}

} // namespace berylcrank
