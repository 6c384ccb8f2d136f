#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_once/table/order_table.h"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <map>
#include <queue>

namespace berylcrank {

/** One shard of an `order_table`; `options` hold the shard's part of the table's limits.

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
    bool finish(const request_id& id, std::uint32_t attempt, order_response answer);
    refuse_result refuse(const request_id& id, order_response answer);
    void tick(instant now);
    void add_to(order_table::counters& out) const;
    [[nodiscard]] instant refuse_horizon() const;

private:
    /** Identifies a genuine id of this run: the serial determines the mint time. */
    struct key {
        std::uint64_t serial{0};
        std::uint64_t number{0};

        auto operator<=>(const key&) const = default;

        template <typename H>
        friend H AbslHashValue(H state, const key& it) {
            return H::combine(std::move(state), it.serial, it.number);
        }
    };

    /** When a waiter must be answered. Not removed early; an answered waiter is passed over when due. */
    struct due_waiter {
        instant at;
        key of;
        std::uint64_t number{0};

        bool operator>(const due_waiter& other) const { return at > other.at; }
    };

    using answered = std::vector<std::pair<order_waiter, shared_response>>;
    using waiter_queue = std::priority_queue<due_waiter, std::vector<due_waiter>, std::greater<>>;

    static key key_of(const request_id& id) { return {.serial = id.serial, .number = id.number}; }
    static void call(answered& it);

    void see(instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] bool is_expired(const request_id& id) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    admit_result insert(const request_id& id, const content_digest& digest, instant deadline,
                        order_waiter waiter) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void add_waiter(const key& of, order_entry& entry, instant deadline, order_waiter waiter)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void end(const key& of, order_entry& entry, order_state state, order_response answer, answered& out)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    shared_response record(const key& of, shared_response whole) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void keep_within_bytes() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void strip_oldest() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void answer_due(answered& out) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void answer_due(const due_waiter& it, answered& out) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void drop_expired(std::size_t most) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    bool drop(const key& of) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const order_table::options options_;
    mutable mutex mutex_;
    instant now_ ABSL_GUARDED_BY(mutex_);
    /** Ids minted at or before this and not in the table are refused. */
    instant horizon_ ABSL_GUARDED_BY(mutex_){millis{-1}};
    absl::flat_hash_map<key, order_entry> entries_ ABSL_GUARDED_BY(mutex_);
    /** Keys by the time from which they may be dropped, in steps of `expiry_step`. */
    std::map<std::int64_t, std::vector<key>> expiries_ ABSL_GUARDED_BY(mutex_);
    waiter_queue due_ ABSL_GUARDED_BY(mutex_);
    /** Keys of recorded answers with headers or body, oldest first. */
    std::deque<key> recorded_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t next_waiter_ ABSL_GUARDED_BY(mutex_){1};
    order_table::counters counters_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
