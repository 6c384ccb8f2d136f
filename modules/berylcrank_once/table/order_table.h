#pragma once

#include "modules/berylcrank_core/identity/request_id.h"
#include "modules/berylcrank_once/table/order_entry.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace berylcrank {

class order_shard;

/** How the home handles one copy of an order. @see order_table::admit */
enum class order_admission : std::uint8_t {
    run,      ///< First copy: the caller of `admit` must run the order. The waiter is registered.
    waiting,  ///< An earlier copy is pending or running. The waiter is registered.
    recorded, ///< The order has ended; `admit_result::response` is set. The waiter is not registered.
    full,     ///< Did not run and never will: the table is full, or the id is not after the refuse horizon.
    expired,  ///< The id is older than the lifetime: may have run, will not run again.
    mismatch, ///< The id was used with other content, which may have run. This content never runs.
};

/** Result of `order_table::admit`. */
struct admit_result {
    order_admission admission{order_admission::expired};
    shared_response response; ///< Set only for `order_admission::recorded`.
};

/** Result of `order_table::refuse`. */
enum class refuse_result : std::uint8_t {
    refused, ///< This call refused the order.
    ended,   ///< The order has ended before, or the id is not in the table.
    running, ///< An attempt may have sent bytes, so the order cannot be reported as not run.
};

/** Table of the orders whose ids this process minted.

    It guarantees that each order runs at most once, and that an order reported as not run never runs later.

    States: `pending -> dispatched -> finished`, `dispatched -> pending` after an attempt that is proven not
    to have run, and `pending -> refused`. `finished` and `refused` are final. Each transition holds the lock
    of the id's shard, so a refusal and a dispatch of the same id are mutually exclusive.

    All ids passed to the table must be genuine (`id_minter::is_genuine`), so that the serial of an id
    determines its mint time. Threads may pass times out of order. Each shard uses the latest time passed to
    it: after it has dropped an expired entry, a caller with an older time must not see the id as new. Safe
    for several threads; waiters are called with no lock held.
    @see order_flow
*/
class order_table {
public:
    struct options {
        unsigned shards{64}; ///< Number of shards, each with its own lock; rounded up to a power of two.
        std::size_t max_entries{400000}; ///< Maximum number of entries in all shards.
        /** Maximum size of headers, bodies and reasons of recorded responses in all shards, in bytes. */
        std::size_t max_bytes{67108864};
        /** Maximum body size of a recorded response, in bytes. Of a response with a larger body, only the
            verdict and the original status are recorded. */
        std::size_t recordable_bytes{65536};
        millis lifetime{600000}; ///< Age at which an id expires.
    };

    /** Current sizes, and totals since the table was created. */
    struct counters {
        std::size_t entries{0};        ///< Entries in the table now.
        std::size_t response_bytes{0}; ///< Current size of headers, bodies and reasons of recorded responses.
        std::uint64_t full{0};       ///< Copies refused because the table was full or by the refuse horizon.
        std::uint64_t expired{0};    ///< Copies with an expired id.
        std::uint64_t mismatched{0}; ///< Copies whose content differs from the first copy.
        std::uint64_t stripped{0};   ///< Recorded responses that lost headers and body due to `max_bytes`.
    };

    explicit order_table(options it);
    ~order_table();
    order_table(const order_table&) = delete;
    order_table& operator=(const order_table&) = delete;

    /** Admits one copy of an order.

        `deadline` is the deadline of this copy's waiter; the deadline of the first copy is also that of the
        order. `tick` calls each registered waiter that has no response at its deadline. */
    admit_result admit(const request_id& id, const content_digest& digest, instant deadline, instant now,
                       order_waiter waiter);

    /** Returns true if the order may still be dispatched. Lets the caller skip the work of preparing an
        attempt that `begin_dispatch` would not allow. */
    [[nodiscard]] bool is_pending(const request_id& id, instant now);

    /** Marks the order as dispatched. Must be called immediately before the first byte of an attempt is sent.

        @return The number of the attempt, or nothing if the order must not be sent: it is refused, ended,
                expired, past its deadline, already dispatched or not in the table. */
    std::optional<std::uint32_t> begin_dispatch(const request_id& id, instant now);

    /** Returns an order to pending after an attempt that is proven not to have run, so that it may be
        dispatched again.

        @return False if `attempt` is not the current attempt. */
    bool attempt_not_run(const request_id& id, std::uint32_t attempt);

    /** Ends a dispatched order with the verdict `ran` or `may_have_run` and calls its waiters.

        @return False if `attempt` is not the current attempt or the verdict is `not_run`. */
    bool finish(const request_id& id, std::uint32_t attempt, order_response response);

    /** Ends a pending order as not run and calls its waiters. Sets `response.verdict` to `not_run`. */
    refuse_result refuse(const request_id& id, order_response response);

    /** Calls the waiters whose deadline has passed, refuses the orders that are still pending at their
        deadline, and drops expired entries. Must be called every few milliseconds. The cost is proportional
        to the number of due waiters and entries. */
    void tick(instant now);

    /** Returns the counters summed over all shards. */
    [[nodiscard]] counters count() const;

    /** Returns the refuse horizon of the shard of `id`: ids that were minted at or before this time and are
        not in the table are refused. */
    [[nodiscard]] instant refuse_horizon(const request_id& id) const;

private:
    [[nodiscard]] order_shard& shard_of(const request_id& id) const;

    options options_;
    std::vector<std::unique_ptr<order_shard>> shards_;
};

} // namespace berylcrank
