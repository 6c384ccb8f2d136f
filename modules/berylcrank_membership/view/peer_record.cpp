#include "modules/berylcrank_membership/view/peer_record.h"

#include <algorithm>

namespace berylcrank {

namespace {
constexpr std::size_t max_silence_reports = 8; // Exceeds the number of observers that any rule needs.
}

void peer_record::record_heartbeat(instant at) {
    if (!last_heartbeat || at > *last_heartbeat) {
        last_heartbeat = at;
    }
    std::erase_if(silence_reports_, [&](const silence_report& it) { return it.at <= *last_heartbeat; });
}

void peer_record::add_silence_report(incarnation observer, instant at) {
    if (last_heartbeat && at <= *last_heartbeat) {
        return;
    }
    const auto it = std::ranges::find_if(
        silence_reports_, [&](const silence_report& known) { return known.observer == observer; });
    if (it != silence_reports_.end()) {
        it->at = std::max(it->at, at);
    } else if (silence_reports_.size() < max_silence_reports) {
        silence_reports_.push_back({observer, at});
    } else {
        *std::ranges::min_element(silence_reports_, {}, &silence_report::at) = {observer, at};
    }
}

std::size_t peer_record::count_silence_reports(instant oldest) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(silence_reports_, [&](const silence_report& it) { return it.at >= oldest; }));
}

bool peer_record::has_silence_report_from(incarnation observer) const {
    return std::ranges::any_of(silence_reports_,
                               [&](const silence_report& it) { return it.observer == observer; });
}

} // namespace berylcrank
