#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_once/table/order_table.h"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <map>
#include <queue>

namespace berylcrank {

/** One shard of an `order_table`, with its own lock.

    The public functions have the contracts of the functions of the same name in `order_table`. The limits in
    `options` are this shard's share of the limits of the table. Safe for several threads; waiters are called
    without the lock held.

    @see order_table
*/
class order_shard {
public:
    explicit order_shard(order_table::options it) : options_(it) {}

    admit_result admit(const request_id& id, const content_digest& digest, instant deadline, instant now,
                       order_waiter waiter);
    bool is_pending(const request_id& id, instant now);
    std::optional<std::uint32_t> begin_dispatch(const request_id& id, instant now);
    bool attempt_not_run(const request_id& id, std::uint32_t attempt);
    bool finish(const request_id& id, std::uint32_t attempt, order_response response);
    refuse_result refuse(const request_id& id, order_response response);
    void tick(instant now);

    /** Adds the counters of this shard to `out`. */
    void add_to(order_table::counters& out) const;

    [[nodiscard]] instant refuse_horizon() const;

private:
    /** Key of a genuine id of this process. The mint time is left out because the serial determines it. */
    struct key {
        std::uint64_t serial{0};
        std::uint64_t number{0};

        auto operator<=>(const key&) const = default;

        template <typename H>
        friend H AbslHashValue(H state, const key& it) {
            return H::combine(std::move(state), it.serial, it.number);
        }
    };

    /** Deadline of a waiter. It stays queued until it is due and is ignored if the waiter has been called. */
    struct waiter_deadline {
        instant at;
        key order;
        std::uint64_t number{0}; ///< Number of the waiter. @see running_order::registered_waiter

        bool operator>(const waiter_deadline& other) const { return at > other.at; }
    };

    using completed_waiters = std::vector<std::pair<order_waiter, shared_response>>;
    using deadline_queue = std::priority_queue<waiter_deadline, std::vector<waiter_deadline>, std::greater<>>;

    static key key_of(const request_id& id) { return {.serial = id.serial, .number = id.number}; }
    static void call_waiters(completed_waiters& it);

    void advance_time(instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] bool is_expired(const request_id& id) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    admit_result insert(const request_id& id, const content_digest& digest, instant deadline,
                        order_waiter waiter) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void add_waiter(const key& order, order_entry& entry, instant deadline, order_waiter waiter)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void complete(const key& order, order_entry& entry, order_state state, order_response response,
                  completed_waiters& out) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    shared_response record(const key& order, shared_response response) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void enforce_byte_limit() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void strip_oldest_response() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void expire_waiters(completed_waiters& out) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void expire_waiter(const waiter_deadline& it, completed_waiters& out)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void drop_expired(std::size_t max_count) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    bool drop_ended(const key& order) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const order_table::options options_;
    mutable mutex mutex_;
    /** Latest time passed to any function of this shard. */
    instant now_ ABSL_GUARDED_BY(mutex_);
    /** Ids that were minted at or before this time and are not in the table are refused. */
    instant horizon_ ABSL_GUARDED_BY(mutex_){millis{-1}};
    absl::flat_hash_map<key, order_entry> entries_ ABSL_GUARDED_BY(mutex_);
    /** Keys by the time slot from which their entries may be dropped. */
    std::map<std::int64_t, std::vector<key>> expiries_ ABSL_GUARDED_BY(mutex_);
    deadline_queue deadlines_ ABSL_GUARDED_BY(mutex_);
    /** Keys of entries whose recorded response has headers or a body, oldest first. */
    std::deque<key> recorded_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t next_waiter_ ABSL_GUARDED_BY(mutex_){1};
    order_table::counters counters_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
