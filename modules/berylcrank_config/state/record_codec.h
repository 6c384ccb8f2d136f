#pragma once

#include "modules/berylcrank_config/state/group_holders.h"
#include "modules/berylcrank_config/ticket/ticket.h"

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace berylcrank {

/** One part of a snapshot on the log. @see snapshot_collector */
struct snapshot_part {
    std::uint64_t id{0};      ///< Equal in all parts of one snapshot.
    std::uint16_t index{0};   ///< Position of the part, from 0.
    std::uint16_t count{0};   ///< Number of parts of the snapshot.
    std::uint64_t applied{0}; ///< One past the largest offset that the snapshot includes.
    std::string content;
};

/** A ticket record. `schema_error` describes the first violated schema constraint; empty if there is none. */
struct ticket_record {
    ticket content;
    std::string schema_error;
};

/** A record that cannot be decoded: foreign, truncated or corrupt. */
struct malformed_record {
    std::string reason;
};

using decoded_record =
    std::variant<malformed_record, ticket_record, snapshot_part, std::vector<holder_assignment>>;

/** Encode a log record: a four-byte magic number, a checksum and a Cap'n Proto `LogRecord`. */
std::string encode_ticket_record(const ticket& change);
std::string encode_assignments(std::span<const holder_assignment> assignments);
std::string encode_snapshot_part(const snapshot_part& part);

/** Decodes a log record. Accepts arbitrary bytes and never throws. */
decoded_record decode_record(std::string_view data);

} // namespace berylcrank
