#pragma once

#include "modules/berylcrank_balance/admission/slot_shares.h"
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
    int priority{0};    ///< 0 first.
    bool late{false};   ///< Behind those that can still be answered within their latency target.
    instant expires_at; ///< The request is refused if it still waits at this moment.
    instant queued_at;  ///< When it began to wait.
};

/** Requests that wait at this node for room at an upstream: most urgent first, then those that are on time,
   newest first, then late ones, earliest give-up first.

    Answers the load of a burst or a lost failure domain: upstreams get only as many requests as they have
   slots, and urgent requests pass the others. When more arrive than can be served, the newest still end in
   time, while in the order of arrival all would be served when it is nearly too late.
*/
class wait_queue {
public:
    void push(waiting_request it);
    void erase(std::uint64_t number);

    /** The first waiting request of each priority, of those on time and of those late, in the order in which
       they are to be sent. */
    [[nodiscard]] std::vector<waiting_request> fronts(std::string_view service) const;

    /** The number of the request on time that has waited longest for a service, of the least urgent ones. */
    [[nodiscard]] std::optional<std::uint64_t> oldest_on_time(std::string_view service) const;

    /** Services for which a request waits. */
    [[nodiscard]] std::vector<std::string> services() const;

    /** Takes out the requests whose give-up has come. */
    std::vector<waiting_request> expired(instant now);

    /** Requests of `service` that go before one of `priority` that is `late` or not. */
    [[nodiscard]] std::size_t ahead_of(std::string_view service, int priority, bool late) const;

    /** Requests that wait for a service, by whether they are late. */
    [[nodiscard]] waiting_count count(std::string_view service) const;

    [[nodiscard]] std::size_t size() const { return keys_.size(); }

private:
    using key = std::tuple<int, bool, millis, std::uint64_t>;
    std::map<std::string, std::map<key, waiting_request>, std::less<>> queues_;
    std::map<std::uint64_t, std::pair<std::string, key>> keys_;
};

} // namespace berylcrank
