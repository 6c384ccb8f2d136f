#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_once/table/content_digest.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace berylcrank {

/** The answer of an order, shared by all who wait for it. */
using shared_response = std::shared_ptr<const order_response>;

/** Receives the answer of an order once, without a lock held. @see order_table::admit */
using order_waiter = std::function<void(const shared_response&)>;

/** Where an order stands at its home. @see order_table */
enum class order_state : std::uint8_t {
    pending,    ///< Admitted; nothing of it was sent, or each attempt so far is proven not to have run.
    dispatched, ///< One attempt may have sent bytes.
    finished,   ///< Ran or may have run; final.
    refused,    ///< Did not run; final.
};

/** What the table knows of a running order besides its state. Dropped with the last waiter's answer. */
struct order_running {
    struct waiting {
        std::uint64_t number{0};
        order_waiter waiter;
    };

    instant deadline; ///< Nothing is dispatched at or after this.
    std::vector<waiting> waiters;
};

/** One remembered id. Kept small because every id of a whole lifetime has one. */
struct order_entry {
    content_digest digest;
    std::unique_ptr<order_running> running; ///< Set while pending or dispatched.
    shared_response answer;                 ///< Set once finished or refused.
    std::uint32_t attempt{0};               ///< Number of the last dispatched attempt.
    order_state state{order_state::pending};
};

} // namespace berylcrank
