#pragma once

#include "modules/berylcrank_balance/admission/slot_shares.h"
#include "modules/berylcrank_balance/catalog/state_record.h"
#include "modules/berylcrank_balance/load/load_snapshot.h"
#include "modules/berylcrank_balance/peers/peer_table.h"
#include "modules/berylcrank_balance/usage/usage_message.h"
#include "modules/berylcrank_suspect/table/suspect_table.h"

#include <array>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace berylcrank {

/** How current a node's copy of one record source is. */
struct state_watermark {
    bool complete{false};
    std::uint64_t end{0};
    millis age;                       ///< Time since `end` was confirmed to be the end of the store.
    std::uint64_t reader{0};          ///< Node whose read of the store confirmed `end`.
    std::uint64_t read_number{0};     ///< Number of that read; grows with each read of the node.
    std::uint64_t last_change_end{0}; ///< Offset after the last record that changed the node's state.
    std::uint64_t epoch{0};           ///< Epoch of the store in which the offsets are valid.
    std::uint64_t restored_end{0};    ///< Records from this offset on were written after the last restore.
};

/** Changes in a node's view of one upstream since its last message. */
struct load_update {
    std::uint32_t upstream{0};
    std::optional<load_snapshot> report; ///< `at` is on the local clock.
    outcome_count outcomes;
    bool unreachable{false};
    std::optional<millis> warm_up_left;
};

/** A datagram between nodes. */
struct node_message {
    std::uint64_t node{0};
    std::uint64_t incarnation{0};
    bool ready{false};
    std::array<state_watermark, record_source_count> watermarks;
    bool has_watermarks{false}; ///< Watermarks are sent only on a change and periodically.
    std::vector<load_update> loads;
    std::vector<in_flight_count> in_flight;
    std::optional<node_info> self; ///< The sender; set in hellos and rosters.
    std::vector<node_info> known;  ///< Some of the nodes that the sender knows.
    bool requests_hello{false};    ///< The receiver responds with a hello.
    std::uint32_t heartbeat{0};    ///< Grows while the sender runs.
    bool store_unreachable{false}; ///< The sender cannot read the store.
    std::vector<roster_entry> roster;
    std::vector<waiting_count> waiting;   ///< Requests that wait at the sender for a free slot.
    std::vector<std::uint32_t> leaving;   ///< Upstreams that announced their stop to the sender.
    std::vector<suspect_report> suspects; ///< Instants are on the local clock.
    std::optional<usage_message> usage;   ///< If set, only `node`, `incarnation` and `self` are set besides.
};

/** A range of records of one source and the watermark of its sender. */
struct record_range {
    state_watermark watermark;
    std::vector<state_record> records;
};
using state_response = std::array<record_range, record_source_count>;

/** Returns whether the addresses of a node can be used and its texts are of a size that fits a message. */
bool is_valid(const node_info& it);

/** Encodes a message. `now` converts instants to ages, since nodes do not share a clock. */
std::string encode(const node_message& it, instant now);
/** Decodes a message. `now` converts ages to instants. Returns nothing if the bytes are malformed. */
std::optional<node_message> decode_message(std::string_view bytes, instant now);

/** Encodes a list of nodes. */
std::string encode(std::span<const node_info> nodes);
/** Decodes a list of nodes, without those that are not valid. Returns nothing if the bytes are malformed. */
std::optional<std::vector<node_info>> decode_nodes(std::string_view bytes);

/** Encodes a state response. */
std::string encode(const state_response& it);
/** Decodes a state response. Returns nothing if the bytes are malformed. */
std::optional<state_response> decode_state(std::string_view bytes);

} // namespace berylcrank
