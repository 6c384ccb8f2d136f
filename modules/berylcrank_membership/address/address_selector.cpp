#include "modules/berylcrank_membership/address/address_selector.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::size_t fail_open_divisor = 3; // More than a third silent: the fault is likely on this side.

} // namespace

void address_selector::update(const std::vector<peer_member>& members, const is_in_use& domain_in_use) {
    const auto silent = static_cast<std::size_t>(
        std::ranges::count_if(members, [](const peer_member& it) { return it.state == peer_state::silent; }));
    const bool is_fail_open = silent * fail_open_divisor > members.size();
    // Lower is better: 0 is a member that follows every rule.
    const auto penalty = [&](const peer_member& it) {
        int sum = it.state == peer_state::silent && !is_fail_open ? 1 : 0;
        sum += domain_in_use(it.info.failure_domain) ? 0 : 2;
        sum += it.state == peer_state::leaving ? 4 : 0;
        sum += it.info.starting ? 8 : 0;
        return sum;
    };
    std::vector<entry> best;
    int least = 16;
    for (const auto& it : members) {
        if (it.info.http_address.empty()) {
            continue;
        }
        const int own = penalty(it);
        if (own < least) {
            least = own;
            best.clear();
        }
        if (own == least) {
            best.push_back({it.info.http_address, it.info.failure_domain});
        }
    }
    const lock_guard lock(mutex_);
    is_fail_open_ = is_fail_open;
    if (!best.empty()) { // An empty member list cannot be right; the last answer is kept.
        entries_ = std::move(best);
    }
}

address_response address_selector::select(std::string_view failure_domain) {
    const lock_guard lock(mutex_);
    address_response out{.address_ttl = options_.address_ttl};
    // A counter for each failure domain: with a shared one, callers that ask in a fixed alternation would
    // always get the same addresses. Unknown names share one, since callers choose them.
    const bool is_known =
        std::ranges::any_of(entries_, [&](const entry& it) { return it.failure_domain == failure_domain; });
    const auto turn = turns_[is_known ? std::string(failure_domain) : std::string()]++;
    const auto append = [&](bool is_near) {
        std::vector<const entry*> some;
        for (const auto& it : entries_) {
            if ((!failure_domain.empty() && it.failure_domain == failure_domain) == is_near) {
                some.push_back(&it);
            }
        }
        for (std::size_t i = 0; i < some.size() && out.addresses.size() < options_.count; ++i) {
            out.addresses.push_back(some[(turn + i) % some.size()]->address);
        }
    };
    append(true);
    append(false);
    return out;
}

bool address_selector::is_fail_open() const {
    const lock_guard lock(mutex_);
    return is_fail_open_;
}

} // namespace berylcrank
