#include "modules/berylcrank_config/state/state_codec.h"

#include "modules/berylcrank_config/schema/struct_loader.h"
#include "modules/berylcrank_config/state/message_codec.h"
#include "modules/berylcrank_config/ticket/ticket_codec.h"

#include <algorithm>
#include <record.capnp.h>

namespace berylcrank {

namespace {

/** Upper bound for the magic number, the checksum and the fields besides the content of a part. */
constexpr std::size_t part_header_bytes = 256;

void write_entry(const object_key& key, const object_entry& entry, schema::ObjectEntry::Builder out) {
    out.setNumber(entry.number);
    out.setOffset(entry.offset);
    if (const auto* service = std::get_if<service_ptr>(&entry.content)) {
        write_service(**service, out.initService());
    } else if (const auto* domain = std::get_if<failure_domain_ptr>(&entry.content)) {
        write_failure_domain(**domain, out.initFailureDomain());
    } else if (const auto* upstream = std::get_if<upstream_ptr>(&entry.content)) {
        write_upstream(**upstream, out.initUpstream());
    } else {
        write_removal(key, out.initRemoval());
    }
}

void write_entries(const state_content& content, std::uint64_t from, schema::ConfigState::Builder out) {
    std::vector<const object_table::map_type::value_type*> selected;
    for (const auto& pair : content.objects.entries()) {
        if (pair.second.offset >= from) {
            selected.push_back(&pair);
        }
    }
    auto list = out.initEntries(static_cast<unsigned>(selected.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        write_entry(selected[i]->first, selected[i]->second, list[i]);
    }
}

void write_outcomes(const state_content& content, std::uint64_t from, schema::ConfigState::Builder out) {
    const auto outcomes = content.outcomes.since(from);
    auto list = out.initOutcomes(static_cast<unsigned>(outcomes.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setNumber(outcomes[i].number);
        list[i].setOffset(outcomes[i].offset);
        list[i].setDigest(outcomes[i].digest);
        list[i].setAccepted(outcomes[i].accepted);
        list[i].setReason({outcomes[i].reason.c_str(), outcomes[i].reason.size()});
    }
}

void write_holders(const state_content& content, std::uint64_t from, schema::ConfigState::Builder out) {
    std::vector<std::uint16_t> selected;
    for (std::uint16_t i = 0; i < group_count; ++i) {
        if (content.holders.of(i).holder.is_set() && content.holders.of(i).offset >= from) {
            selected.push_back(i);
        }
    }
    auto list = out.initHolders(static_cast<unsigned>(selected.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setGroup(selected[i]);
        list[i].setHolder(content.holders.of(selected[i]).holder.value);
        list[i].setOffset(content.holders.of(selected[i]).offset);
        list[i].setIsHandOver(content.holders.of(selected[i]).is_hand_over);
        list[i].setIsFirst(content.holders.of(selected[i]).is_first);
    }
}

std::string encode_from(const state_content& content, std::uint64_t from) {
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::ConfigState>();
    out.setFirst(from);
    out.setCertain(content.covered.contiguous_end);
    out.setEnd(content.covered.end);
    out.setFloor(content.outcomes.floor());
    out.setDroppedEnd(content.dropped_end);
    write_entries(content, from, out);
    write_outcomes(content, from, out);
    write_holders(content, from, out);
    return write_message(message, message_encoding::packed);
}

bool read_entry(schema::ObjectEntry::Reader in, object_table& out) {
    const auto number = in.getNumber();
    const auto offset = in.getOffset();
    switch (in.which()) {
    case schema::ObjectEntry::SERVICE: {
        auto object = read_service(in.getService());
        out.put({object_kind::service, object.name}, make_entry(object, number, offset));
        return number != 0;
    }
    case schema::ObjectEntry::FAILURE_DOMAIN: {
        auto object = read_failure_domain(in.getFailureDomain());
        out.put({object_kind::failure_domain, object.name}, make_entry(object, number, offset));
        return number != 0;
    }
    case schema::ObjectEntry::UPSTREAM: {
        auto object = read_upstream(in.getUpstream());
        out.put({object_kind::upstream, object.name}, make_entry(object, number, offset));
        return number != 0;
    }
    case schema::ObjectEntry::REMOVAL: {
        const auto object = read_removal(in.getRemoval());
        out.put(object, make_removal(object, number, offset));
        return number != 0 && object.kind <= object_kind::upstream;
    }
    }
    return false;
}

bool read_content(schema::ConfigState::Reader in, state_content& out) {
    out.covered = {.first = in.getFirst(), .contiguous_end = in.getCertain(), .end = in.getEnd()};
    if (out.covered.contiguous_end > out.covered.end || out.covered.first > out.covered.end) {
        return false;
    }
    for (const auto entry : in.getEntries()) {
        if (!read_entry(entry, out.objects)) {
            return false;
        }
    }
    out.outcomes.raise_floor(in.getFloor());
    for (const auto outcome : in.getOutcomes()) {
        out.outcomes.add({.number = outcome.getNumber(),
                          .offset = outcome.getOffset(),
                          .digest = outcome.getDigest(),
                          .accepted = outcome.getAccepted(),
                          .reason = std::string(outcome.getReason().cStr(), outcome.getReason().size())});
    }
    for (const auto holder : in.getHolders()) {
        if (holder.getGroup() >= group_count) {
            return false;
        }
        out.holders.set(holder.getGroup(), {.holder = incarnation{holder.getHolder()},
                                            .offset = holder.getOffset(),
                                            .is_hand_over = holder.getIsHandOver(),
                                            .is_first = holder.getIsFirst()});
    }
    out.dropped_end = in.getDroppedEnd();
    return true;
}

} // namespace

std::string encode_content(const state_content& content) {
    return encode_from(content, 0);
}

std::string encode_delta(const state_content& content, std::uint64_t from) {
    return encode_from(content, needs_full_state(content, from) ? 0 : from);
}

bool needs_full_state(const state_content& content, std::uint64_t from) {
    return from == 0 || from < content.dropped_end || from > content.covered.end || content.covered.has_gap();
}

std::optional<state_content> decode_content(std::string_view data) {
    std::optional<state_content> out(std::in_place);
    const auto error = read_message(data, [&](capnp::MessageReader& message) {
        if (!read_content(message.getRoot<schema::ConfigState>(), *out)) {
            out.reset();
        }
    });
    if (!error.empty()) {
        out.reset();
    }
    return out;
}

std::vector<std::string> split_snapshot(std::string_view encoded, std::uint64_t applied, std::uint64_t id) {
    constexpr std::size_t part_content_bytes = snapshot_part_bytes - part_header_bytes;
    const auto count =
        static_cast<std::uint16_t>((encoded.size() + part_content_bytes - 1) / part_content_bytes);
    std::vector<std::string> out;
    for (std::uint16_t i = 0; i < count; ++i) {
        out.push_back(encode_snapshot_part(
            {.id = id,
             .index = i,
             .count = count,
             .applied = applied,
             .content = std::string(encoded.substr(i * part_content_bytes, part_content_bytes))}));
    }
    return out;
}

} // namespace berylcrank
