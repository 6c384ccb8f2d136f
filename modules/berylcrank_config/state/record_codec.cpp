#include "modules/berylcrank_config/state/record_codec.h"

#include "modules/berylcrank_config/schema/struct_loader.h"
#include "modules/berylcrank_config/state/packed_message.h"
#include "modules/berylcrank_config/ticket/ticket_codec.h"

#include <record.capnp.h>

namespace berylcrank {

namespace {

decoded_record read_ticket_record(schema::Ticket::Reader it) {
    const auto errors = check_struct(capnp::toDynamic(it));
    return ticket_record{.content = read_ticket(it),
                         .fault = errors.empty() ? "" : errors.front().key + " " + errors.front().message};
}

decoded_record read_snapshot_part(schema::SnapshotPart::Reader it) {
    if (it.getIndex() >= it.getCount()) {
        return malformed_record{"snapshot part index is not below the part count"};
    }
    const auto content = it.getContent().asChars();
    return snapshot_part{.id = it.getId(),
                         .index = it.getIndex(),
                         .count = it.getCount(),
                         .applied = it.getApplied(),
                         .content = std::string(content.begin(), content.size())};
}

decoded_record read_assignments(capnp::List<schema::Assignment>::Reader list) {
    std::vector<holder_assignment> out;
    for (const auto it : list) {
        if (it.getGroup() >= group_count || it.getHolder() == 0) {
            return malformed_record{"assignment of a group that does not exist, or to no node"};
        }
        out.push_back({.group = it.getGroup(),
                       .holder = incarnation{it.getHolder()},
                       .replaces = incarnation{it.getReplaces()},
                       .is_hand_over = it.getIsHandOver()});
    }
    return out;
}

} // namespace

std::string encode_ticket_record(const ticket& it) {
    capnp::MallocMessageBuilder message;
    write_ticket(it, message.initRoot<schema::LogRecord>().initTicket());
    return write_message(message, message_form::packed);
}

std::string encode_assignments(std::span<const holder_assignment> it) {
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<schema::LogRecord>().initAssignments(static_cast<unsigned>(it.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setGroup(static_cast<std::uint16_t>(it[i].group));
        list[i].setHolder(it[i].holder.value);
        list[i].setReplaces(it[i].replaces.value);
        list[i].setIsHandOver(it[i].is_hand_over);
    }
    return write_message(message, message_form::packed);
}

std::string encode_snapshot_part(const snapshot_part& it) {
    capnp::MallocMessageBuilder message;
    auto part = message.initRoot<schema::LogRecord>().initSnapshotPart();
    part.setId(it.id);
    part.setIndex(it.index);
    part.setCount(it.count);
    part.setApplied(it.applied);
    part.setContent({reinterpret_cast<const kj::byte*>(it.content.data()), it.content.size()});
    // The content is packed already; packing it again would only make it larger.
    return write_message(message, message_form::flat);
}

decoded_record decode_record(std::string_view data) {
    decoded_record out = malformed_record{};
    const auto fault = read_message(data, [&](capnp::MessageReader& message) {
        const auto it = message.getRoot<schema::LogRecord>();
        switch (it.which()) {
        case schema::LogRecord::TICKET:
            out = read_ticket_record(it.getTicket());
            return;
        case schema::LogRecord::SNAPSHOT_PART:
            out = read_snapshot_part(it.getSnapshotPart());
            return;
        case schema::LogRecord::ASSIGNMENTS:
            out = read_assignments(it.getAssignments());
            return;
        }
        out = malformed_record{"record of an unknown kind"};
    });
    return fault.empty() ? std::move(out) : malformed_record{fault};
}

} // namespace berylcrank
