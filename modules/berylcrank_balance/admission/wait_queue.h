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

/** A request that is queued until an upstream of its service has a free slot. */
struct waiting_request {
    std::uint64_t number{0};
    std::string service;
    int priority{0};    ///< 0 is served first.
    bool late{false};   ///< Can no longer meet its latency target; served after on-time requests.
    instant expires_at; ///< The request is refused if it is still queued at this time.
    instant queued_at;  ///< On-time requests are served in the reverse order of this time.
};

/** Requests queued at this node until an upstream has a free slot. The order is by priority; within a
    priority, on-time requests come first, newest first, then late requests, earliest expiry first.

    During a burst or after the loss of a failure domain, upstreams receive only as many requests as they have
    slots, and urgent requests overtake others. When more requests arrive than can be served, serving the
    newest first still completes some in time. In order of arrival, every request would be served only when it
    is nearly late.
*/
class wait_queue {
public:
    /** Adds a request. Its number must differ from those of all queued requests. */
    void push(waiting_request request);
    /** Removes the request with this number, if it is queued. */
    void erase(std::uint64_t number);

    /** Returns the first queued request of each combination of priority and lateness, in the order in which
        they are to be sent. */
    [[nodiscard]] std::vector<waiting_request> fronts(std::string_view service) const;

    /** Returns the number of the on-time request that has been queued longest, within the least urgent
        priority that has one; nothing if no on-time request is queued for the service. */
    [[nodiscard]] std::optional<std::uint64_t> oldest_on_time(std::string_view service) const;

    /** Returns the services that have queued requests. */
    [[nodiscard]] std::vector<std::string> services() const;

    /** Removes and returns the requests whose expiry time has come. */
    std::vector<waiting_request> expired(instant now);

    /** Returns the number of queued requests of `service` that may be served before a request of this
        `priority`: those of more urgent priorities, the on-time ones of the same priority and, if `late` is
        set, also its late ones. Ignores the order among these. */
    [[nodiscard]] std::size_t ahead_of(std::string_view service, int priority, bool late) const;

    /** Returns the numbers of on-time and late requests queued for a service. */
    [[nodiscard]] waiting_count count(std::string_view service) const;

    /** Number of queued requests of all services. */
    [[nodiscard]] std::size_t size() const { return keys_.size(); }

private:
    /** Priority, lateness, position among the requests with the same two values, and request number. */
    using key = std::tuple<int, bool, millis, std::uint64_t>;
    std::map<std::string, std::map<key, waiting_request>, std::less<>> queues_;
    std::map<std::uint64_t, std::pair<std::string, key>> keys_;
};

} // namespace berylcrank
