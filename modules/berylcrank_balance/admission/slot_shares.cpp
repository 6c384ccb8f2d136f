#include "modules/berylcrank_balance/admission/slot_shares.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <xxhash.h>

namespace berylcrank {

std::uint32_t service_number(std::string_view service) {
    return static_cast<std::uint32_t>(XXH3_64bits(service.data(), service.size()));
}

void slot_shares::update_demand(std::uint64_t node, const std::string& failure_domain,
                                std::span<const waiting_count> counts, instant now) {
    for (const auto& waiting : counts) {
        if (waiting.on_time == 0 && waiting.late == 0) {
            continue;
        }
        auto& nodes = demands_[waiting.service];
        std::erase_if(nodes,
                      [&](const auto& demand) { return demand.node == node || demand.valid_until <= now; });
        nodes.push_back(
            {.node = node,
             .failure_domain = failure_domain,
             .per_second = waiting.per_second,
             .valid_until = now + demand_lifetime,
             .on_time_valid_until = waiting.on_time > 0 ? now + on_time_demand_lifetime : instant{}});
    }
}

double slot_shares::borrow_probability(std::uint32_t service, instant now) const {
    const auto it = demands_.find(service);
    if (it == demands_.end()) {
        return 1;
    }
    const auto others = std::count_if(it->second.begin(), it->second.end(),
                                      [now](const auto& demand) { return demand.valid_until > now; });
    return 1 / (attempts_per_update * static_cast<double>(others + 1));
}

void slot_shares::forget(std::uint64_t node) {
    for (auto& [service, nodes] : demands_) {
        std::erase_if(nodes, [node](const auto& demand) { return demand.node == node; });
    }
}

bool slot_shares::has_remote_demand(std::uint32_t service, instant now) const {
    const auto it = demands_.find(service);
    return it != demands_.end() &&
           std::any_of(it->second.begin(), it->second.end(),
                       [now](const auto& demand) { return demand.valid_until > now; });
}

bool slot_shares::has_remote_on_time_demand(std::uint32_t service, instant now) const {
    const auto it = demands_.find(service);
    return it != demands_.end() &&
           std::any_of(it->second.begin(), it->second.end(),
                       [now](const auto& demand) { return demand.on_time_valid_until > now; });
}

bool slot_shares::has_any_remote_demand(instant now) const {
    return std::any_of(demands_.begin(), demands_.end(),
                       [&](const auto& entry) { return has_remote_demand(entry.first, now); });
}

slot_shares::share_map slot_shares::compute(std::uint32_t service, int arrivals_per_second,
                                            std::span<const upstream_slots> pool, instant now) const {
    std::vector<node_demand> nodes{
        {.node = self_, .failure_domain = failure_domain_, .per_second = arrivals_per_second}};
    if (const auto it = demands_.find(service); it != demands_.end()) {
        std::copy_if(it->second.begin(), it->second.end(), std::back_inserter(nodes),
                     [now](const auto& demand) { return demand.valid_until > now; });
    }
    // Nodes and slots are sorted by failure domain, so that most slots of a node's range are in its own
    // domain. Within a domain, the first slots of all upstreams come before the second ones.
    std::sort(nodes.begin(), nodes.end(), [](const auto& a, const auto& b) {
        return std::tie(a.failure_domain, a.node) < std::tie(b.failure_domain, b.node);
    });
    std::vector<std::tuple<std::string_view, int, std::uint32_t>> slots;
    for (const auto& entry : pool) {
        for (int i = 0; i < entry.slots; ++i) {
            slots.emplace_back(entry.failure_domain, i, entry.upstream);
        }
    }
    std::sort(slots.begin(), slots.end());
    const double total = std::accumulate(nodes.begin(), nodes.end(), 0.0, [](double sum, const auto& demand) {
        return sum + std::max(1, demand.per_second);
    });
    share_map result;
    double allocated = 0;
    for (const auto& demand : nodes) {
        const double from = allocated / total * static_cast<double>(slots.size());
        allocated += std::max(1, demand.per_second);
        const double to = allocated / total * static_cast<double>(slots.size());
        if (demand.node != self_) {
            continue;
        }
        for (std::size_t i = 0; i < slots.size(); ++i) {
            const double center = static_cast<double>(i) + 0.5;
            if (center >= from && center < to) {
                ++result[std::get<2>(slots[i])];
            }
        }
    }
    return result;
}

} // namespace berylcrank
