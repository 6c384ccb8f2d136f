#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_once/table/content_digest.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace berylcrank {

/** Response to an order, shared by all its waiters. */
using shared_response = std::shared_ptr<const order_response>;

/** Callback that receives the response to an order. It is called once, with no lock held.
    @see order_table::admit */
using order_waiter = std::function<void(const shared_response&)>;

/** State of an order at its home. @see order_table */
enum class order_state : std::uint8_t {
    pending,    ///< Admitted. No attempt was made, or every attempt is proven not to have run.
    dispatched, ///< One attempt may have sent bytes to an upstream.
    finished,   ///< Ran or may have run. Final.
    refused,    ///< Did not run. Final.
};

/** Data of an order that is pending or dispatched. Deleted when the order ends. */
struct running_order {
    struct registered_waiter {
        std::uint64_t number{0}; ///< Unique within the shard.
        order_waiter waiter;
    };

    instant deadline; ///< No attempt is dispatched at or after this time.
    std::vector<registered_waiter> waiters;
};

/** State of one id. Kept small because the table holds an entry for every id of the last lifetime. */
struct order_entry {
    content_digest digest;
    std::unique_ptr<running_order> running; ///< Set while pending or dispatched.
    shared_response response;               ///< Set when finished or refused.
    std::uint32_t attempt{0};               ///< Number of the last dispatched attempt; 0 before the first.
    order_state state{order_state::pending};
};

} // namespace berylcrank
