#pragma once

#include <cstddef>

namespace berylcrank::bench {

/** Memory and time per operation of an order table that remembers a number of ids. @see measure_table */
struct table_cost {
    double bytes{0};     ///< Heap bytes of the filled table.
    double order_ns{0};  ///< One order: admission, dispatch check, finish and response to the waiter.
    double retry_ns{0};  ///< One retry that gets the recorded response.
    double expire_ns{0}; ///< Removal of one expired id.
};

/** Fills a table with `ids` finished orders whose responses have bodies of `body_bytes`, then measures
    operations at that size. */
table_cost measure_table(std::size_t ids, std::size_t body_bytes);

/** Returns the mean time of an order in nanoseconds, while each of `threads` threads runs `ids_per_thread`
    orders. */
double measure_contention(unsigned threads, std::size_t ids_per_thread);

/** Returns the mean time of a `tick` in nanoseconds, for a table with `ids` orders of which none is due. */
double measure_idle_tick(std::size_t ids);

} // namespace berylcrank::bench
