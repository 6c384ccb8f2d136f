#include "modules/berylcrank_membership/address/address_selector.h"

#include <algorithm>

namespace berylcrank {

namespace {

// If more than a third of the members are silent, the fault is probably at this node.
constexpr std::size_t fail_open_divisor = 3;

} // namespace

void address_selector::update(const std::vector<peer_member>& members,
                              const in_use_predicate& domain_in_use) {
    const auto silent = static_cast<std::size_t>(
        std::ranges::count_if(members, [](const peer_member& it) { return it.state == peer_state::silent; }));
    const bool is_fail_open = silent * fail_open_divisor > members.size();
    // Lower is better; 0 means that no exclusion applies.
    const auto penalty = [&](const peer_member& it) {
        int sum = it.state == peer_state::silent && !is_fail_open ? 1 : 0;
        sum += domain_in_use(it.info.failure_domain) ? 0 : 2;
        sum += it.state == peer_state::leaving ? 4 : 0;
        sum += it.info.starting ? 8 : 0;
        return sum;
    };
    std::vector<entry> best;
    int min_penalty = 16;
    for (const auto& it : members) {
        if (it.info.http_address.empty()) {
            continue;
        }
        const int value = penalty(it);
        if (value < min_penalty) {
            min_penalty = value;
            best.clear();
        }
        if (value == min_penalty) {
            best.push_back({it.info.http_address, it.info.failure_domain});
        }
    }
    const lock_guard lock(mutex_);
    is_fail_open_ = is_fail_open;
    if (!best.empty()) { // An empty list cannot be correct, so the last selection is kept.
        entries_ = std::move(best);
    }
}

address_response address_selector::select(std::string_view failure_domain) {
    const lock_guard lock(mutex_);
    address_response out{.address_ttl = options_.address_ttl};
    // Uses one counter for each failure domain: with a shared counter, callers of two domains that alternate
    // regularly would always get the same addresses. Unknown domains share a counter, because callers choose
    // the name and could otherwise create any number of counters.
    const bool is_known =
        std::ranges::any_of(entries_, [&](const entry& it) { return it.failure_domain == failure_domain; });
    const auto call = call_counts_[is_known ? std::string(failure_domain) : std::string()]++;
    const auto append = [&](bool is_same_domain) {
        std::vector<const entry*> group;
        for (const auto& it : entries_) {
            if ((!failure_domain.empty() && it.failure_domain == failure_domain) == is_same_domain) {
                group.push_back(&it);
            }
        }
        for (std::size_t i = 0; i < group.size() && out.addresses.size() < options_.count; ++i) {
            out.addresses.push_back(group[(call + i) % group.size()]->address);
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
