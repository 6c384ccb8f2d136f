#pragma once

#include "modules/berylcrank_config/berylcrank_config.h"
#include "modules/berylcrank_core/random/random_source.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

namespace berylcrank::testing {

/** Number of seeds of a property test: `usual`, times BERYLCRANK_SEEDS if that is set, for longer trials. */
inline std::uint64_t seed_count(std::uint64_t usual) {
    const auto* factor = std::getenv("BERYLCRANK_SEEDS");
    return factor == nullptr ? usual : usual * std::strtoull(factor, nullptr, 10);
}

inline ticket base_ticket(std::uint64_t number) {
    ticket it{.number = number};
    it.services = {{.name = "s0"}, {.name = "s1"}};
    it.failure_domains = {{.name = "f0", .region = "r"}, {.name = "f1", .region = "r"}};
    return it;
}

inline ticket upstream_ticket(std::uint64_t number, const std::string& name,
                              const std::string& service = "s0", std::uint32_t slots = 4) {
    ticket it{.number = number};
    it.upstreams = {
        {.name = name, .service = service, .failure_domain = "f0", .address = "10.0.0.1:80", .slots = slots}};
    return it;
}

inline ticket removal_ticket(std::uint64_t number, object_kind kind, const std::string& name) {
    ticket it{.number = number};
    it.removals = {{kind, name}};
    return it;
}

/** A log with random tickets: few objects and close numbers, so that conflicts, duplicates, removals and
   rejections are frequent; some records are damaged, some are assignments. */
inline std::vector<std::string> random_log(random_source& random, std::size_t size) {
    std::vector<std::string> out{encode_ticket_record(base_ticket(1))};
    std::uint64_t number = 1;
    while (out.size() < size) {
        number += random.below(3);
        const auto name = "u" + std::to_string(random.below(5));
        const auto service = "s" + std::to_string(random.below(3));
        switch (random.below(9)) {
        case 0:
            out.push_back(encode_ticket_record(removal_ticket(number, object_kind::upstream, name)));
            break;
        case 1:
            out.push_back(encode_ticket_record(removal_ticket(number, object_kind::service, service)));
            break;
        case 2: {
            ticket it{.number = number};
            it.services = {{.name = service, .weight = static_cast<std::uint32_t>(1 + random.below(3))}};
            out.push_back(encode_ticket_record(it));
            break;
        }
        case 3:
            out.push_back(out[random.below(out.size())]);
            break;
        case 4:
            out.push_back(std::string("damaged"));
            break;
        case 5: {
            const holder_assignment it{.group = static_cast<std::uint32_t>(random.below(3)),
                                       .holder = incarnation{1 + random.below(3)},
                                       .replaces = incarnation{random.below(3)}};
            out.push_back(encode_assignments({&it, 1}));
            break;
        }
        default:
            out.push_back(encode_ticket_record(
                upstream_ticket(number, name, service, static_cast<std::uint32_t>(1 + random.below(2)))));
            break;
        }
    }
    return out;
}

/** Applies the records from the state's position up to `end`. */
inline void apply_to(config_state& it, const std::vector<std::string>& log, std::size_t end) {
    while (it.applied() < end) {
        it.apply(it.applied(), log[it.applied()]);
    }
}

/** What the state and its view hold, as text that can be compared. */
inline std::string contents_of(const config_state& it) {
    std::vector<std::string> lines;
    it.view()->for_each_service([&](const service_view& service) {
        auto line = service.config->name + " weight " + std::to_string(service.config->weight) + ":";
        for (const auto& upstream : service.upstreams) {
            line += " " + upstream->name + "/" + std::to_string(upstream->slots);
            if (it.view()->find_upstream(upstream->name) != upstream.get()) {
                line += " (differs)";
            }
        }
        lines.push_back(line);
    });
    std::sort(lines.begin(), lines.end());
    std::string out = "digest " + std::to_string(it.content().digest()) + "\n";
    for (const auto& line : lines) {
        out += line + "\n";
    }
    for (std::size_t group = 0; group < 3; ++group) {
        out += "holder " + std::to_string(it.view()->holder_of(group).holder.value) + "\n";
    }
    return out;
}

} // namespace berylcrank::testing
