#pragma once

#include "modules/berylcrank_balance/admission/slot_shares.h"
#include "modules/berylcrank_balance/catalog/state_record.h"
#include "modules/berylcrank_balance/load/load_snapshot.h"
#include "modules/berylcrank_balance/peers/peer_table.h"

#include <array>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace berylcrank {

/** How far a node's copy of one source of records goes. */
struct state_mark {
    bool complete{false};
    std::uint64_t end{0};
    millis age;               ///< How long ago `end` was known to be the store's end.
    std::uint64_t reader{0};  ///< Node whose read of the store confirmed `end`.
    std::uint64_t read{0};    ///< Number of that read; grows with each read of that node.
    std::uint64_t changed{0}; ///< Offset behind the last record that changed what the node believes.
};

/** What a node has learnt of one upstream since its last message. */
struct load_news {
    std::uint32_t upstream{0};
    std::optional<load_snapshot> report; ///< `at` is on the receiver's clock.
    outcome_count outcomes;
    bool unreachable{false};
    std::optional<millis> cold_left;
};

/** A datagram between nodes. */
struct node_message {
    std::uint64_t node{0};
    std::uint64_t incarnation{0};
    bool ready{false};
    std::array<state_mark, record_source_count> marks;
    bool has_marks{false}; ///< Marks go out only when they have changed, and now and then.
    std::vector<load_news> loads;
    std::vector<in_flight_count> in_flight;
    std::optional<node_info> self;
    std::vector<node_info> known;
    bool asks_self{false};
    std::uint32_t beat{0};
    bool blind{false}; ///< The sender cannot read the store.
    std::vector<roster_entry> roster;
    std::vector<waiting_count> waiting; ///< Requests that wait for room at the sender.
};

/** A run of records as one node gives it to another. */
struct state_run {
    state_mark mark;
    std::vector<state_record> records;
};
using state_answer = std::array<state_run, record_source_count>;

/** Packed bytes of a message; `now` turns moments into ages. */
std::string encode(const node_message& it, instant now);
/** Reads a message; nothing if the bytes are not one. */
std::optional<node_message> decode_message(std::string_view bytes, instant now);

/** Packed bytes of a state answer. */
std::string encode(const state_answer& it);
/** Reads a state answer; nothing if the bytes are not one. */
std::optional<state_answer> decode_state(std::string_view bytes);

} // namespace berylcrank
