#include "modules/berylcrank_config/state/record_codec.h"

#include "modules/berylcrank_config/schema/struct_loader.h"
#include "modules/berylcrank_config/state/message_codec.h"
#include "modules/berylcrank_config/ticket/ticket_codec.h"

#include <record.capnp.h>

namespace berylcrank {

namespace {

decoded_record read_ticket_record(schema::Ticket::Reader in) {
    const auto errors = check_struct(capnp::toDynamic(in));
    return ticket_record{.content = read_ticket(in),
                         .schema_error =
                             errors.empty() ? "" : errors.front().key + " " + errors.front().message};
}

decoded_record read_snapshot_part(schema::SnapshotPart::Reader in) {
    if (in.getIndex() >= in.getCount()) {
        return malformed_record{"snapshot part index is not below the part count"};
    }
    const auto content = in.getContent().asChars();
    return snapshot_part{.id = in.getId(),
                         .index = in.getIndex(),
                         .count = in.getCount(),
                         .applied = in.getApplied(),
                         .content = std::string(content.begin(), content.size())};
}

decoded_record read_assignments(capnp::List<schema::Assignment>::Reader list) {
    std::vector<holder_assignment> out;
    for (const auto assignment : list) {
        if (assignment.getGroup() >= group_count || assignment.getHolder() == 0) {
            return malformed_record{"assignment names an unknown group or no holder"};
        }
        out.push_back({.group = assignment.getGroup(),
                       .holder = incarnation{assignment.getHolder()},
                       .replaces = incarnation{assignment.getReplaces()},
                       .is_hand_over = assignment.getIsHandOver()});
    }
    return out;
}

} // namespace

std::string encode_ticket_record(const ticket& change) {
    capnp::MallocMessageBuilder message;
    write_ticket(change, message.initRoot<schema::LogRecord>().initTicket());
    return write_message(message, message_encoding::packed);
}

std::string encode_assignments(std::span<const holder_assignment> assignments) {
    capnp::MallocMessageBuilder message;
    auto list =
        message.initRoot<schema::LogRecord>().initAssignments(static_cast<unsigned>(assignments.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setGroup(static_cast<std::uint16_t>(assignments[i].group));
        list[i].setHolder(assignments[i].holder.value);
        list[i].setReplaces(assignments[i].replaces.value);
        list[i].setIsHandOver(assignments[i].is_hand_over);
    }
    return write_message(message, message_encoding::packed);
}

std::string encode_snapshot_part(const snapshot_part& part) {
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::LogRecord>().initSnapshotPart();
    out.setId(part.id);
    out.setIndex(part.index);
    out.setCount(part.count);
    out.setApplied(part.applied);
    out.setContent({reinterpret_cast<const kj::byte*>(part.content.data()), part.content.size()});
    // The content is already packed; packing it again would make it larger.
    return write_message(message, message_encoding::flat);
}

decoded_record decode_record(std::string_view data) {
    decoded_record out = malformed_record{};
    const auto error = read_message(data, [&](capnp::MessageReader& message) {
        const auto record = message.getRoot<schema::LogRecord>();
        switch (record.which()) {
        case schema::LogRecord::TICKET:
            out = read_ticket_record(record.getTicket());
            return;
        case schema::LogRecord::SNAPSHOT_PART:
            out = read_snapshot_part(record.getSnapshotPart());
            return;
        case schema::LogRecord::ASSIGNMENTS:
            out = read_assignments(record.getAssignments());
            return;
        }
        out = malformed_record{"record of an unknown kind"};
    });
    return error.empty() ? std::move(out) : malformed_record{error};
}

} // namespace berylcrank
