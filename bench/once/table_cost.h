#pragma once

#include <cstddef>

namespace berylcrank::bench {

/** Cost of an order table with `ids` remembered ids. @see measure_table */
struct table_cost {
    double bytes{0};     ///< Heap bytes of the table.
    double order_ns{0};  ///< One order: admission, dispatch check, finish, and response to its waiter.
    double retry_ns{0};  ///< One retry that gets the recorded response.
    double expire_ns{0}; ///< Removal of one expired id.
};

/** Fills a table with `ids` finished orders whose responses have bodies of `body_bytes`, then measures
    operations at that size. */
table_cost measure_table(std::size_t ids, std::size_t body_bytes);

/** Nanoseconds for one order of a thread while `threads` threads run orders concurrently. */
double measure_contention(unsigned threads, std::size_t ids_per_thread);

/** Nanoseconds for one `tick` when nothing is due. */
double measure_idle_tick(std::size_t ids);

} // namespace berylcrank::bench
