#pragma once

#include "modules/berylcrank_gateway/flow/request_flow.h"

#include <absl/container/flat_hash_map.h>

namespace berylcrank {

/** Answers callers: finds the route of a request and makes its flow; gives room at upstreams to waiting
   requests.

    @see request_flow, node_state
*/
class gateway final : public request_handler {
public:
    explicit gateway(node_state& node) : node_(node) {}

    void handle(const exchange_ptr& it) override;
    [[nodiscard]] bool closing() const override { return stopping_; }

    /** Responses ask callers to close from now on. */
    void stop() { stopping_ = true; }

    /** Sends waiting requests for which there is room and ends what has run out of time. Called regularly. */
    void tick(instant now);

    /** Requests that are not answered yet. */
    [[nodiscard]] std::size_t active() const { return flows_.size(); }

    /** A request has ended at an upstream of the service. */
    void drained(const std::string& service);
    /** Rate of the above. */
    [[nodiscard]] double drained_per_second(const std::string& service) const;
    /** A request for the service has arrived. */
    void arrived(const std::string& service);
    /** Rate of the above. */
    [[nodiscard]] int arriving_per_second(const std::string& service) const;
    /** Sends waiting requests of the service for which there is room. */
    void send_waiting(const std::string& service);
    /** Refuses the oldest waiting requests on time if more wait than can be served within `patience`. */
    void bound_queue(const std::string& service, millis patience);
    /** A flow is done. */
    void ended(std::uint64_t number);

private:
    struct service_rates {
        double drained_per_second{0};
        double drained{0}; // since the last update
        double arriving_per_second{0};
        double arrived{0}; // since the last update
    };

    void start_flow(const exchange_ptr& it);
    bool send_first(const std::string& service);
    void update_rates(instant now);
    static void answer_unavailable(const exchange_ptr& it, const node_state& node);

    node_state& node_;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<request_flow>> flows_;
    std::vector<std::shared_ptr<request_flow>> done_;
    absl::flat_hash_map<std::string, service_rates> rates_;
    instant rates_at_;
    std::uint64_t next_number_{1};
    bool stopping_{false};
};

} // namespace berylcrank
