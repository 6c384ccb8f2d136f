#pragma once

#include "modules/berylcrank_config/state/group_holders.h"
#include "modules/berylcrank_config/ticket/ticket.h"

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace berylcrank {

/** A piece of a snapshot on the log. @see snapshot_collector */
struct snapshot_part {
    std::uint64_t id{0}; ///< Same in all parts of one snapshot.
    std::uint16_t index{0};
    std::uint16_t count{0};
    std::uint64_t applied{0}; ///< One past the largest offset that the snapshot includes.
    std::string content;
};

/** A ticket record; `fault` says which schema rule it breaks and is empty otherwise. */
struct ticket_record {
    ticket content;
    std::string fault;
};

/** A record that no rule can read: foreign, cut short or damaged. */
struct malformed_record {
    std::string reason;
};

using decoded_record =
    std::variant<malformed_record, ticket_record, snapshot_part, std::vector<holder_assignment>>;

/** Log records: a four-byte mark, a checksum, then a Cap'n Proto `LogRecord`. */
std::string encode_ticket_record(const ticket& it);
std::string encode_assignments(std::span<const holder_assignment> it);
std::string encode_snapshot_part(const snapshot_part& it);

/** Reads any bytes; never throws. */
decoded_record decode_record(std::string_view data);

} // namespace berylcrank
