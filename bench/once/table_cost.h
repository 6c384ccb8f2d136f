#pragma once

#include <cstddef>

namespace berylcrank::bench {

/** Cost of an order table with `ids` remembered ids. @see measure_table */
struct table_cost {
    double bytes{0};     ///< Heap bytes of the table.
    double run_ns{0};    ///< One order: admission, dispatch check, end, answer to its waiter.
    double resend_ns{0}; ///< One resend that gets the recorded answer.
    double expire_ns{0}; ///< Dropping one expired id.
};

/** Fills a table with finished orders with answers of `body_bytes`, then measures operations at that size. */
table_cost measure_table(std::size_t ids, std::size_t body_bytes);

/** Nanoseconds for one order when `threads` run orders at once. */
double measure_contended(unsigned threads, std::size_t ids_per_thread);

/** Nanoseconds for one `tick` when nothing is due. */
double measure_idle_tick(std::size_t ids);

} // namespace berylcrank::bench
