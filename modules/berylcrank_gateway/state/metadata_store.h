#pragma once

#include "modules/berylcrank_balance/catalog/state_record.h"
#include "modules/berylcrank_balance/peers/peer_table.h"
#include "modules/berylcrank_core/time/millis.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace berylcrank {

/** Result of a call to the store. */
enum class store_outcome : std::uint8_t {
    ok,
    expired,     ///< The store no longer keeps the requested records; read a snapshot instead.
    refused,     ///< The store rejected the call and did nothing.
    unavailable, ///< No response, or one that cannot be parsed.
};

/** Returns the text of a store_outcome for logs. */
std::string_view to_string(store_outcome it);

/** Result of a read. */
struct store_read_result {
    store_outcome outcome{store_outcome::unavailable};
    std::vector<state_record> records;
    std::uint64_t end{0};      ///< Offset after the last record read.
    bool more{false};          ///< The source has more records.
    std::size_t unreadable{0}; ///< Items that could not be parsed and are left out.
    /** Epoch that the response states, 0 if it states none; nothing without a response or if malformed. It
        increases when the store is restored from a backup. The records have the same epoch. */
    std::optional<std::uint64_t> epoch{0};
    bool malformed_epoch{false}; ///< The response states an epoch that could not be parsed.
};

/** Interface to the platform's store. Calls are asynchronous: each handler runs once, from the event loop,
    within a timeout of the implementation.

    @see state_follower
*/
class metadata_store {
public:
    using read_handler = std::function<void(const store_read_result&)>;
    using done_handler = std::function<void(store_outcome)>;
    /** Receives the valid nodes and the number of entries that could not be parsed. */
    using nodes_handler =
        std::function<void(store_outcome, const std::vector<node_info>&, std::size_t unreadable)>;

    metadata_store() = default;
    metadata_store(const metadata_store&) = delete;
    metadata_store& operator=(const metadata_store&) = delete;
    virtual ~metadata_store() = default;

    /** Reads the newest record of every key. */
    virtual void read_all(record_source source, read_handler done) = 0;

    /** Reads the records from offset `from` on. Waits up to `wait` for a record if there is none. */
    virtual void read_from(record_source source, std::uint64_t from, millis wait, read_handler done) = 0;

    /** Publishes this node's address to the other nodes. */
    virtual void announce(const node_info& self, done_handler done) = 0;

    /** Lists all nodes that were ever announced, including nodes that no longer run. */
    virtual void list_nodes(nodes_handler done) = 0;

    /** Number of calls made so far. */
    [[nodiscard]] virtual std::uint64_t calls() const = 0;
};

} // namespace berylcrank
