#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace berylcrank {

/** A request that waits for room at an upstream of its service. */
struct waiting_request {
    std::uint64_t number{0};
    std::string service;
    int priority{0};  ///< 0 first.
    bool late{false}; ///< Behind those that can still be answered within their latency target.
    instant give_up;  ///< The request is refused if it still waits at this moment.
};

/** Requests that wait at this node for room at an upstream: most urgent first, then those that are not late,
   then earliest give-up.

    Answers the load of a burst or a lost failure domain: upstreams get only as many requests as they have
   slots, and urgent requests pass the others.
*/
class wait_queue {
public:
    void push(waiting_request it);
    void erase(std::uint64_t number);

    /** The first waiting request of a service. */
    [[nodiscard]] std::optional<waiting_request> front(std::string_view service) const;

    /** Services for which a request waits. */
    [[nodiscard]] std::vector<std::string> services() const;

    /** Takes out the requests whose give-up has come. */
    std::vector<waiting_request> expired(instant now);

    /** Requests of `service` that go before one of `priority` that is `late` or not. */
    [[nodiscard]] std::size_t ahead_of(std::string_view service, int priority, bool late) const;

    [[nodiscard]] std::size_t size() const { return keys_.size(); }

private:
    using key = std::tuple<int, bool, instant, std::uint64_t>;
    std::map<std::string, std::map<key, waiting_request>, std::less<>> queues_;
    std::map<std::uint64_t, std::pair<std::string, key>> keys_;
};

} // namespace berylcrank
