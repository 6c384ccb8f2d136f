#pragma once

#include "modules/berylcrank_balance/catalog/state_record.h"
#include "modules/berylcrank_balance/peers/peer_table.h"
#include "modules/berylcrank_core/time/millis.h"

#include <functional>
#include <string>
#include <vector>

namespace berylcrank {

/** How a call to the store ended. */
enum class store_outcome : std::uint8_t {
    ok,
    expired,     ///< The records asked for are no longer kept; read everything.
    refused,     ///< The store said that it did nothing.
    unavailable, ///< No answer, or none that can be read.
};

/** Text of a store_outcome for logs. */
std::string_view to_string(store_outcome it);

/** Answer to a read. */
struct store_read {
    store_outcome outcome{store_outcome::unavailable};
    std::vector<state_record> records;
    std::uint64_t end{0}; ///< Offset behind the last record read.
    bool more{false};     ///< The source has further records.
};

/** The platform's store, as far as a node uses it. Calls return at once; handlers run from the event loop,
   once, within a time limit of the implementation.

    @see state_follower
*/
class metadata_store {
public:
    using read_handler = std::function<void(const store_read&)>;
    using done_handler = std::function<void(store_outcome)>;
    using nodes_handler = std::function<void(store_outcome, const std::vector<node_info>&)>;

    metadata_store() = default;
    metadata_store(const metadata_store&) = delete;
    metadata_store& operator=(const metadata_store&) = delete;
    virtual ~metadata_store() = default;

    /** Reads the newest record of every key. */
    virtual void read_all(record_source source, read_handler done) = 0;

    /** Reads the records from offset `from` on; with nothing there, waits up to `wait` for one. */
    virtual void read_from(record_source source, std::uint64_t from, millis wait, read_handler done) = 0;

    /** Makes this node's address known to the others. */
    virtual void announce(const node_info& self, done_handler done) = 0;

    /** Lists the nodes that ever announced themselves; some may be gone. */
    virtual void list_nodes(nodes_handler done) = 0;

    /** Calls made so far. */
    [[nodiscard]] virtual std::uint64_t calls() const = 0;
};

} // namespace berylcrank
