#include "modules/berylcrank_membership/view/peer_record.h"

#include <algorithm>

namespace berylcrank {

namespace {
constexpr std::size_t max_doubts = 8; // More observers than any rule asks for.
}

void peer_record::hear(instant at) {
    if (!heard || at > *heard) {
        heard = at;
    }
    std::erase_if(doubts_, [&](const doubt& it) { return it.at <= *heard; });
}

void peer_record::add_doubt(incarnation observer, instant at) {
    if (heard && at <= *heard) {
        return;
    }
    const auto it =
        std::ranges::find_if(doubts_, [&](const doubt& known) { return known.observer == observer; });
    if (it != doubts_.end()) {
        it->at = std::max(it->at, at);
    } else if (doubts_.size() < max_doubts) {
        doubts_.push_back({observer, at});
    } else {
        *std::ranges::min_element(doubts_, {}, &doubt::at) = {observer, at};
    }
}

std::size_t peer_record::doubts(instant oldest) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(doubts_, [&](const doubt& it) { return it.at >= oldest; }));
}

bool peer_record::is_doubted_by(incarnation observer) const {
    return std::ranges::any_of(doubts_, [&](const doubt& it) { return it.observer == observer; });
}

} // namespace berylcrank
