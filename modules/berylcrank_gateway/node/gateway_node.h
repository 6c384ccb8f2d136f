#pragma once

#include "modules/berylcrank_gateway/flow/gateway.h"
#include "modules/berylcrank_gateway/flow/prober.h"
#include "modules/berylcrank_gateway/node/node_handlers.h"
#include "modules/berylcrank_gateway/peers/gossip_usage_transport.h"
#include "modules/berylcrank_gateway/server/http_listener.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace berylcrank {

/** A node of a platform deployment: owns the listeners, exchanges messages with the other nodes and follows
    the store.

    Runs on one thread, because the machines give a process one core and run one of its threads at a time. The
    components share node_state.
    @see gateway, state_follower, prober
*/
class gateway_node {
public:
    /** Interval between ticks, which run all periodic work. */
    static constexpr millis tick_interval{10};
    /** Minimum time for which a stopping node keeps accepting connections, so that callers can notice the
        stop. */
    static constexpr millis min_stop_time{2000};
    /** Share of gateway_options::grace after which a stopping node accepts no more connections, so that the
        requests it has accepted can complete in the rest. */
    static constexpr double accept_share = 0.55;
    /** A new node waits this long for the list of nodes before it does without. */
    static constexpr millis max_node_list_wait{1500};
    /** Part of gateway_options::grace that is reserved for the exit of the process. */
    static constexpr millis stop_margin{700};

    /** Starts listening and schedules the first tick on `io`. All arguments except `options` must outlive
        the node. Throws std::invalid_argument for a malformed address and boost::system::system_error for
        one that cannot be bound. */
    gateway_node(boost::asio::io_context& io, const clock& time, const wire_format& wire,
                 metadata_store& store, event_log& log, const gateway_options& options);

    /** Begins a graceful stop: completes the requests that were already read and stops the `io_context`
        within gateway_options::grace. Has no effect on a node that is already stopping. */
    void stop();

    /** Counts and logs an error that no component handled. */
    void report_error(std::string_view error);

    /** Replaces the IP addresses of the machines that may run a node. */
    void set_seeds(std::vector<std::string> ips) { node_.options.seed_ips = std::move(ips); }

private:
    void next_tick();
    void run_tick();
    void tick(instant now);
    void detect_pause(instant now);
    void receive_messages();
    void tick_follower(instant now);
    void tick_usage(instant now);
    void update_usage_nodes();
    /** Receives messages as they arrive, instead of once per tick, while requests depend on them. */
    void await_usage_messages();
    void report_usage(instant now);
    void discover(instant now);
    [[nodiscard]] bool registration_due(instant now) const;
    void on_peer_heard(instant now);
    void announce();
    void list_nodes();
    void check_announcement(const std::vector<node_info>& nodes, std::uint64_t epoch);
    void finish_store_call(store_outcome outcome);
    void pull_nodes(instant now);
    void on_unknown_node(const peer& sender, instant now);
    void learn_nodes(const std::vector<node_info>& nodes);
    void exchange_messages(instant now);
    void contact_seeds();
    void send_loads(instant now);
    void send_suspects(instant now);
    void send_watermarks(instant now, bool to_all);
    void send_hello(instant now);
    void send_roster(instant now);
    void send_to(const node_message& it, const std::vector<const peer*>& peers, instant now);
    void send_hello_to(const node_info& it, bool request_hello);
    void on_message(const node_message& it);
    /** Updates the state of the sender. Returns false if the sender or its incarnation is unknown. */
    bool update_sender(const node_message& it, instant now);
    void contact_new_nodes(const std::vector<node_info>& known, instant now);
    void apply_loads(const node_message& it, instant now);
    void on_newer_state(const peer& from, instant now);
    void pull_state(const peer& from);
    void pull_state_if_due(instant now);
    record_effect apply_record(record_source source, const state_record& it, bool after_outage);
    record_effect apply_operator_record(const state_record& it);
    record_effect apply_upstream_record(const state_record& it, bool after_outage);
    [[nodiscard]] bool keeps_record(record_source source, const state_record& known,
                                    const state_record& restored) const;
    void log_superseded(const state_record& it);
    /** Removes an upstream whose latest registration cannot be read. */
    record_effect drop_unreadable_upstream(const state_record& it, std::string_view reason);
    void check_stop(instant now);
    void report_memory(instant now);
    void report_connections(instant now);
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
    http_client peer_client_;
    gossip_socket gossip_;
    gossip_usage_transport usage_transport_;
    ready_handler ready_handler_;
    directory_handler directory_handler_;
    state_handler state_handler_;
    control_handler control_handler_;
    std::vector<std::unique_ptr<http_listener>> listeners_;
    std::shared_ptr<memory_account> memory_;               // for requests on all listeners
    std::shared_ptr<connection_limit> caller_connections_; // on all listeners
    instant connections_short_at_;                         // when caller_connections_ was last reached
    std::size_t connection_shortages_{0};                  // of caller_connections_, until then
    instant memory_short_at_;                              // when memory_ was last found short
    std::size_t memory_refusals_{0};                       // of memory_, until then
    http_listener* front_{nullptr};
    boost::asio::steady_timer timer_;
    instant started_;
    instant next_message_;
    instant next_hello_;
    instant next_roster_;
    instant next_suspects_; // earliest time of the next message about suspects to other cells
    instant next_sweep_;
    instant next_rank_;
    instant next_usage_nodes_;
    std::size_t usage_holders_{0}; // nodes that hold caps, as last logged
    std::size_t reader_rank_{0};
    instant behind_since_;
    std::uint64_t last_sent_read_{0}; // number of the last own read that was sent to the other nodes
    std::uint64_t behind_peer_{0};    // node with newer state; 0 if there is none
    std::uint64_t list_source_{0};    // node that knows nodes which this one does not; 0 if there is none
    std::uint32_t heartbeat_{0};
    instant next_store_call_;
    instant last_tick_;
    instant stop_started_;
    millis store_call_retry_;
    instant next_node_pull_;
    instant next_store_list_;
    instant next_seed_contact_;
    bool has_node_list_{false};     // a list of nodes was read from the store or from another node
    std::uint64_t listed_epoch_{0}; // epoch of the store in which it has this node's announcement
    bool announcement_lost_{false}; // the restored store does not list this node
    bool has_store_list_{false};    // the store's list of nodes was read
    bool awaits_message_{false};    // await_usage_messages() has begun a wait
    bool heard_peer_{false};        // a message of another node has arrived
    bool store_call_pending_{false};
    bool pulling_{false};
    bool stopping_{false};
    bool was_ready_{false};
};

} // namespace berylcrank
