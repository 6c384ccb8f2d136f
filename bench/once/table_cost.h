#pragma once

#include <cstddef>

namespace berylcrank::bench {

/** Memory of an order table and mean time of its operations. @see measure_table */
struct table_cost {
    double bytes{0};     ///< Heap bytes of the table.
    double order_ns{0};  ///< One order: admission, dispatch check, finish, and the response callback.
    double retry_ns{0};  ///< One retry that gets the recorded response.
    double expire_ns{0}; ///< Removal of one expired id.
};

/** Fills a table with `ids` finished orders whose responses have bodies of `body_bytes`, then measures
    operations at that size. */
table_cost measure_table(std::size_t ids, std::size_t body_bytes);

/** Returns the mean time of one order on one thread in nanoseconds, while `threads` threads run
    `ids_per_thread` orders each on the same table. */
double measure_contention(unsigned threads, std::size_t ids_per_thread);

/** Returns the mean time of one `tick` in nanoseconds, for a table of `ids` finished orders of which none
    is due. */
double measure_idle_tick(std::size_t ids);

} // namespace berylcrank::bench
