#include "modules/berylcrank_config/state/config_state.h"

#include "modules/berylcrank_config/state/record_codec.h"
#include "modules/berylcrank_config/state/state_codec.h"
#include "modules/berylcrank_config/state/view_builder.h"

namespace berylcrank {

config_state::config_state() : view_(std::make_shared<config_view>()) {}

apply_result config_state::apply(std::uint64_t offset, std::string_view record) {
    if (offset < applied()) {
        return apply_result::already_applied;
    }
    content_.covered.extend(offset + 1);
    const auto decoded = decode_record(record);
    auto out = apply_result::malformed;
    if (const auto* ticket = std::get_if<ticket_record>(&decoded)) {
        out = apply_ticket(*ticket, offset);
    } else if (const auto* part = std::get_if<snapshot_part>(&decoded)) {
        ++counters_.snapshot_parts;
        add_snapshot_part(*part, offset);
        out = apply_result::snapshot;
    } else if (const auto* list = std::get_if<std::vector<holder_assignment>>(&decoded)) {
        out = apply_assignments(*list, offset);
    } else {
        ++counters_.malformed;
    }
    refresh_view();
    return out;
}

bool config_state::scan(std::uint64_t offset, std::string_view record) {
    const auto decoded = decode_record(record);
    const auto* part = std::get_if<snapshot_part>(&decoded);
    if (part == nullptr || !add_snapshot_part(*part, offset)) {
        return false;
    }
    refresh_view();
    return true;
}

void config_state::skip_to(std::uint64_t offset) {
    if (offset <= applied()) {
        return;
    }
    ++counters_.gaps;
    counters_.gap_offsets += offset - applied();
    content_.covered.end = offset;
    refresh_view();
}

bool config_state::merge(const state_content& other, bool allow_gap) {
    const auto next = content_.covered.merged(other.covered);
    if (next.has_gap() && !content_.covered.has_gap() && !allow_gap) {
        return false;
    }
    if (next == content_.covered && content_.digest() == other.digest()) {
        return true;
    }
    content_.merge(other);
    ++counters_.merges;
    refresh_view();
    return true;
}

apply_result config_state::apply_ticket(const ticket_record& record, std::uint64_t offset) {
    bool duplicate = false;
    const auto outcome = content_.apply_ticket(record.content, record.schema_error, offset, duplicate);
    if (duplicate) {
        ++counters_.duplicate;
        return apply_result::duplicate;
    }
    ++(outcome.accepted ? counters_.accepted : counters_.rejected);
    return outcome.accepted ? apply_result::accepted : apply_result::rejected;
}

apply_result config_state::apply_assignments(const std::vector<holder_assignment>& list,
                                             std::uint64_t offset) {
    auto out = apply_result::ignored;
    for (const auto& assignment : list) {
        if (content_.holders.apply(assignment, offset, content_.covered.has_gap())) {
            ++counters_.assignments_won;
            out = apply_result::assigned;
        } else {
            ++counters_.assignments_lost;
        }
    }
    return out;
}

bool config_state::add_snapshot_part(const snapshot_part& part, std::uint64_t offset) {
    // A snapshot adds nothing to a state without gaps that already includes its offsets.
    const bool adds_content = part.applied > applied() || content_.covered.has_gap();
    const auto encoded = collector_.add(part, offset, adds_content);
    if (!encoded) {
        return false;
    }
    const auto content = decode_content(*encoded);
    if (!content || content->covered.end != part.applied) {
        ++counters_.malformed;
        return false;
    }
    content_.merge(*content);
    ++counters_.merges;
    return true;
}

void config_state::refresh_view() {
    const auto changed = content_.objects.take_changed();
    view_ = view_builder::next(*view_, content_, changed, applied());
}

} // namespace berylcrank
