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

/** What the home does with one copy of an order. @see order_table::admit */
enum class order_admission : std::uint8_t {
    run,      ///< First copy: the caller of `admit` must run the order. The waiter was taken.
    waiting,  ///< The order is running. The waiter was taken.
    recorded, ///< The order ended; `admit_result::response` is its answer. The waiter was not taken.
    full,     ///< Not run and never will: no room, or minted at or before the refuse horizon.
    expired,  ///< Older than the lifetime: may have run, never runs again.
    mismatch, ///< The id is known with other content: may have run; this content never runs under it.
};

/** Result of `order_table::admit`. */
struct admit_result {
    order_admission admission{order_admission::expired};
    shared_response response; ///< Only with `order_admission::recorded`.
};

/** Why `order_table::refuse` did or did not refuse. */
enum class refuse_result : std::uint8_t {
    refused, ///< Refused by this call.
    ended,   ///< It had ended before.
    running, ///< An attempt may have sent bytes; the order cannot be called "not run".
};

/** What the home of an id remembers, so that an order runs at most once and "not run" is true for ever.

    States: `pending -> dispatched -> finished`, `dispatched -> pending` after an attempt that is proven not
    to have run, and `pending -> refused`. No transition leaves `finished` or `refused`. Each transition is
    made under the lock of the id's shard, so a refusal and a dispatch of one id exclude each other.

    All ids given to the table must be genuine ids of this run (`id_minter::is_genuine`): an id's serial then
    determines its mint time. Callers on several threads may pass times out of order; each shard uses the
    latest time it has seen, because an entry dropped as expired must not become unknown again for a caller
    with an older time. Safe for several threads; waiters are called without a lock held.
    @see order_flow
*/
class order_table {
public:
    struct options {
        unsigned shards{64};             ///< Locks; rounded up to a power of two.
        std::size_t max_entries{400000}; ///< Most ids remembered, over all shards.
        std::size_t max_bytes{
            67108864}; ///< Most bytes of headers and bodies of recorded answers, over all shards.
        std::size_t recordable_bytes{65536}; ///< Bodies above this are not recorded.
        millis lifetime{600000};             ///< Age at which an id expires.
    };

    /** Sizes and totals since the start. */
    struct counters {
        std::size_t entries{0};      ///< Ids remembered now.
        std::size_t answer_bytes{0}; ///< Bytes of headers, bodies and reasons of recorded answers now.
        std::uint64_t full{0};       ///< Copies refused for want of room or by the horizon.
        std::uint64_t expired{0};    ///< Copies of expired ids.
        std::uint64_t mismatched{0}; ///< Copies with other content.
        std::uint64_t stripped{0};   ///< Recorded answers given up, but for the verdict, for newer ones.
    };

    explicit order_table(options it);
    ~order_table();
    order_table(const order_table&) = delete;
    order_table& operator=(const order_table&) = delete;

    /** Takes one copy of an order. `deadline` is the order's for the first copy, and the waiter's for every
        copy: a waiter that is not answered by then is answered by `tick`. */
    admit_result admit(const request_id& id, const content_digest& digest, instant deadline, instant now,
                       order_waiter waiter);

    /** True if the order may still be dispatched; worth asking before work is spent on it. */
    [[nodiscard]] bool is_pending(const request_id& id, instant now);

    /** The last check, immediately before the first byte of an attempt. Gives the attempt's number, or
       nothing if the order must not be sent: refused, ended, expired, past its deadline, or already being
       sent. */
    std::optional<std::uint32_t> begin_dispatch(const request_id& id, instant now);

    /** An attempt is proven not to have run; the order may be dispatched again. False if `attempt` is not the
        one in progress. */
    bool attempt_not_run(const request_id& id, std::uint32_t attempt);

    /** Ends a dispatched order with `ran` or `may_have_run` and answers its waiters. False if `attempt` is
       not the one in progress, or the verdict is `not_run`. */
    bool finish(const request_id& id, std::uint32_t attempt, order_response answer);

    /** Ends a pending order as not run and answers its waiters. `answer.verdict` must be `not_run`. */
    refuse_result refuse(const request_id& id, order_response answer);

    /** Answers the waiters whose deadline has passed (refusing an order that is pending past its own) and
       drops expired entries. To be called every few milliseconds; the work is proportional to what is due. */
    void tick(instant now);

    [[nodiscard]] counters count() const;

    /** Unknown ids in the shard of `id` are refused if minted at or before this. */
    [[nodiscard]] instant refuse_horizon(const request_id& id) const;

private:
    [[nodiscard]] order_shard& shard_of(const request_id& id) const;

    options options_;
    std::vector<std::unique_ptr<order_shard>> shards_;
};

} // namespace berylcrank
