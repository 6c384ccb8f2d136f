#include "modules/berylcrank_config/state/config_state.h"

#include "modules/berylcrank_config/state/record_codec.h"
#include "modules/berylcrank_config/state/state_codec.h"
#include "modules/berylcrank_config/state/view_builder.h"

namespace berylcrank {

config_state::config_state() : view_(std::make_shared<config_view>()) {}

apply_result config_state::apply(std::uint64_t offset, std::string_view record) {
    if (offset < applied()) {
        return apply_result::known;
    }
    content_.covered.extend(offset + 1);
    const auto decoded = decode_record(record);
    auto out = apply_result::malformed;
    if (const auto* ticket = std::get_if<ticket_record>(&decoded)) {
        out = apply_ticket(*ticket, offset);
    } else if (const auto* part = std::get_if<snapshot_part>(&decoded)) {
        ++counters_.snapshot_parts;
        take_part(*part, offset);
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
    if (part == nullptr || !take_part(*part, offset)) {
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

bool config_state::merge(const state_content& it, bool allow_gap) {
    const auto next = content_.covered.joined(it.covered);
    if (next.has_gap() && !content_.covered.has_gap() && !allow_gap) {
        return false;
    }
    if (next == content_.covered && content_.digest() == it.digest()) {
        return true;
    }
    content_.merge(it);
    ++counters_.joins;
    refresh_view();
    return true;
}

apply_result config_state::apply_ticket(const ticket_record& it, std::uint64_t offset) {
    bool duplicate = false;
    const auto outcome = content_.apply_ticket(it.content, it.fault, offset, duplicate);
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
    for (const auto& it : list) {
        if (content_.holders.apply(it, offset, content_.covered.has_gap())) {
            ++counters_.assignments_won;
            out = apply_result::assigned;
        } else {
            ++counters_.assignments_lost;
        }
    }
    return out;
}

bool config_state::take_part(const snapshot_part& part, std::uint64_t offset) {
    // A node without gaps learns nothing from a snapshot of offsets that it has applied.
    const bool is_news = part.applied > applied() || content_.covered.has_gap();
    const auto encoded = collector_.add(part, offset, is_news);
    if (!encoded) {
        return false;
    }
    const auto content = decode_content(*encoded);
    if (!content || content->covered.end != part.applied) {
        ++counters_.malformed;
        return false;
    }
    content_.merge(*content);
    ++counters_.joins;
    return true;
}

void config_state::refresh_view() {
    const auto changed = content_.objects.take_changed();
    view_ = view_builder::next(*view_, content_, changed, applied());
}

} // namespace berylcrank
