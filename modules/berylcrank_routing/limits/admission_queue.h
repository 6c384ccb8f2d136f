#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_core/verdict/request_class.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace berylcrank {

/** A request that waits for an upstream. @see admission_queue */
struct queued_request {
    std::uint64_t number{0}; ///< Assigned by the owner of the queue; unique within the queue.
    berylcrank::request_class request_class{berylcrank::request_class::lookup};
    instant deadline;

    bool operator==(const queued_request&) const = default;
};

/** Result of `admission_queue::push`. */
enum class push_result : std::uint8_t {
    queued,
    full,     ///< The queue is full and holds no request of a lower class.
    too_late, ///< The deadline would pass before the request is served.
};

/** Bounded queue of the requests that wait for an upstream of one service at one node.

    Orders have strict priority. Lookups and downloads share the remaining capacity by weight, so neither
    starves. Within a class the earliest deadline comes first. If the queue is full, a request of a higher
    class displaces the request with the latest deadline in the lowest class.
    @see service_router
*/
class admission_queue {
public:
    struct options {
        std::size_t limit{64}; ///< Maximum number of queued requests.
        std::array<double, request_class_count> weights{1, 4,
                                                        1}; ///< By class; the weight of orders is unused.
    };

    explicit admission_queue(const options& opts) : options_(opts) {}

    /** Adds a request.
        @param min_service_time Least time that the request needs after it leaves the queue.
        @param displaced Receives the request that was removed to make room, if any. */
    push_result push(const queued_request& request, millis min_service_time, instant now,
                     std::optional<queued_request>& displaced);

    /** The request that `pop` would return; nothing if the queue is empty. */
    [[nodiscard]] std::optional<queued_request> top() const;

    /** Removes and returns the next request; nothing if the queue is empty. */
    std::optional<queued_request> pop(instant now);

    /** Removes a request, e.g. because its caller disconnected. Returns false if it is not queued. */
    bool remove(std::uint64_t number);

    /** Removes and returns all requests whose deadline has passed. */
    std::vector<queued_request> expire(instant now);

    /** Expected time in the queue of a new request. */
    [[nodiscard]] millis expected_wait(request_class cls, instant deadline) const;

    /** Changes the options. Requests above a lower limit stay queued. */
    void set_options(const options& opts) { options_ = opts; }

    [[nodiscard]] std::size_t size() const { return positions_.size(); }
    [[nodiscard]] std::size_t size(request_class cls) const { return queue_of(cls).size(); }

private:
    using queue_key = std::pair<instant, std::uint64_t>; // deadline, order of arrival
    using class_queue = absl::btree_map<queue_key, queued_request>;

    [[nodiscard]] const class_queue& queue_of(request_class cls) const {
        return queues_[static_cast<std::size_t>(cls)];
    }
    [[nodiscard]] std::optional<std::size_t> next_queue() const;
    [[nodiscard]] std::optional<std::size_t> lowest_queue_below(request_class cls) const;
    queued_request extract(std::size_t n, class_queue::iterator at);

    options options_;
    std::array<class_queue, request_class_count> queues_;
    std::array<double, request_class_count> served_{}; ///< Weighted service, compared among non-empty queues.
    absl::flat_hash_map<std::uint64_t, std::pair<std::size_t, queue_key>> positions_; ///< By request number.
    std::uint64_t arrivals_{0};
    double mean_pop_interval_ms_{0}; ///< Mean time between two pops while the queue is not empty.
    instant last_pop_;
    bool was_busy_{false}; ///< The queue has not been empty since the last pop.
};

} // namespace berylcrank
