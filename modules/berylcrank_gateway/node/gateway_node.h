#pragma once

#include "modules/berylcrank_gateway/flow/gateway.h"
#include "modules/berylcrank_gateway/flow/prober.h"
#include "modules/berylcrank_gateway/node/node_handlers.h"
#include "modules/berylcrank_gateway/peers/gossip_link.h"
#include "modules/berylcrank_gateway/server/http_listener.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace berylcrank {

/** A node that serves callers of a platform deployment: listeners, messages to other nodes, duties at the
   store.

    Runs in one thread, since the machines give a process one core and let one thread run at a time; what the
   parts share is node_state.
    @see gateway, state_follower, prober
*/
class gateway_node {
public:
    /** Interval of all regular work. */
    static constexpr millis tick_interval{10};
    /** Time for which a stopping node still accepts, so that callers notice. */
    static constexpr millis least_stop{2000};
    /** Taken off the grace for the end of the process itself. */
    static constexpr millis stop_margin{700};

    gateway_node(boost::asio::io_context& io, const clock& time, const wire_format& wire,
                 metadata_store& store, event_log& log, const gateway_options& options);

    /** Begins a planned stop: finishes what was read and ends `io` within the grace. */
    void stop();

    /** Takes new addresses of machines that may run a node. */
    void set_seeds(std::vector<std::string> ips) { node_.options.seed_ips = std::move(ips); }

private:
    void next_tick();
    void tick(instant now);
    void follow_store(instant now);
    void announce();
    void exchange_messages(instant now);
    void greet_seeds();
    void send_loads(instant now);
    void send_marks(instant now, bool to_all);
    void send_hello(instant now);
    void send_roster(instant now);
    void send_to(const node_message& it, const std::vector<const peer*>& peers, instant now);
    void greet(const node_info& it, bool asks);
    void hear(const node_message& it);
    void learn_loads(const node_message& it, instant now);
    void fall_behind(const peer& from, instant now);
    void pull(const peer& from, instant now);
    void pull_if_due(instant now);
    bool take_record(record_source source, const state_record& it, bool after_outage);
    bool take_operator_record(const state_record& it);
    bool take_upstream_record(const state_record& it, bool after_outage);
    void check_stop(instant now);
    [[nodiscard]] bool ready() const;
    [[nodiscard]] node_message message(instant now) const;

    boost::asio::io_context& io_;
    const clock& time_;
    event_log& log_;
    metadata_store& store_;
    node_state node_;
    gateway gateway_;
    prober prober_;
    state_follower follower_;
    simple_caller peer_calls_;
    gossip_link gossip_;
    ready_handler ready_handler_;
    directory_handler directory_handler_;
    state_handler state_handler_;
    control_handler control_handler_;
    std::vector<std::unique_ptr<http_listener>> listeners_;
    http_listener* front_{nullptr};
    boost::asio::steady_timer timer_;
    instant started_;
    instant next_message_;
    instant next_hello_;
    instant next_roster_;
    instant next_sweep_;
    instant next_rank_;
    std::size_t reader_rank_{0};
    instant behind_since_;
    std::uint64_t marks_sent_{0};
    std::uint64_t behind_peer_{0};
    std::uint32_t beat_{0};
    instant next_announce_;
    instant last_tick_;
    instant stop_started_;
    millis announce_retry_;
    bool announced_{false};
    bool listed_{false};
    bool announcing_{false};
    bool pulling_{false};
    bool stopping_{false};
    bool was_ready_{false};
};

} // namespace berylcrank
