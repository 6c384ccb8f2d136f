#pragma once

#include "modules/berylcrank_gateway/flow/request_flow.h"

#include <absl/container/flat_hash_map.h>
#include <optional>

namespace berylcrank {

/** Handles the requests of callers: finds the route of a request, checks its account, creates its
   request_flow, and sends waiting requests when an upstream has a free slot.

    @see request_flow, node_state
*/
class gateway final : public request_handler {
public:
    explicit gateway(node_state& node) : node_(node) {}

    void handle(const exchange_ptr& it) override;
    [[nodiscard]] bool closing() const override { return stop_.has_value(); }

    /** Makes all further responses ask callers to close the connection, and refuses requests that cannot be
        expected to complete before the process exits at `exit_at`. */
    void stop(instant now, instant exit_at) { stop_ = stop_period{.start = now, .exit = exit_at}; }

    /** Returns whether a request may be sent to an upstream, which the exit of a stopping process could cut
        off. Times of `in` that concern the stop are ignored. */
    [[nodiscard]] bool stop_allows(stop_inputs in, instant now) const;

    /** Sends waiting requests that an upstream can take and ends requests whose time is up. Call this
        periodically. */
    void tick(instant now);

    /** Logs the requests without a complete response. Call this before the process exits. */
    void log_unfinished() const;

    /** Number of requests without a complete response. */
    [[nodiscard]] std::size_t active() const { return flows_.size(); }

    /** Counts an attempt that has ended at an upstream of the service. */
    void count_completion(const std::string& service);
    /** Moving average of the attempts per second that end. */
    [[nodiscard]] double completions_per_second(const std::string& service) const;
    /** Counts a request for the service that has arrived. */
    void count_arrival(const std::string& service);
    /** Moving average of the requests per second that arrive, rounded. */
    [[nodiscard]] int arrivals_per_second(const std::string& service) const;
    /** Sends the waiting requests of the service that an upstream can take. */
    void send_waiting(const std::string& service);
    /** Refuses the oldest on-time requests in the queue if more are queued than can complete within
        `max_wait`, least urgent ones first. */
    void limit_queue(const std::string& service, millis max_wait);
    /** Returns the route of a request in the active configuration, or null. */
    [[nodiscard]] static std::shared_ptr<const route_entry> find_route(const request_head& head,
                                                                       const node_state& node);
    /** Responds that the request did not run because it carries no key of an account. */
    static void respond_unauthorized(const exchange_ptr& it, const node_state& node);
    /** Removes a flow that has ended. */
    void remove_flow(std::uint64_t number);

private:
    struct service_rates {
        double completions_per_second{0};
        double completions{0}; // since the last update
        double arrivals_per_second{0};
        double arrivals{0}; // since the last update
    };

    struct stop_period {
        instant start;
        instant exit;
    };

    void start_flow(const exchange_ptr& it, std::shared_ptr<const route_entry> route);
    [[nodiscard]] std::vector<std::shared_ptr<request_flow>> all_flows() const;
    bool send_next_waiting(const std::string& service);
    void update_rates(instant now);
    static void respond_unavailable(const exchange_ptr& it, const node_state& node);

    node_state& node_;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<request_flow>> flows_;
    std::vector<std::shared_ptr<request_flow>> finished_flows_;
    absl::flat_hash_map<std::string, service_rates> rates_;
    instant rates_at_;
    std::uint64_t next_number_{1};
    std::optional<stop_period> stop_;
};

} // namespace berylcrank
