#pragma once

#include "modules/berylcrank_config/berylcrank_config.h"
#include "modules/berylcrank_core/random/random_source.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

namespace berylcrank::testing {

/** Number of seeds of a property test: `default_count`, multiplied by BERYLCRANK_SEEDS if that is set. */
inline std::uint64_t seed_count(std::uint64_t default_count) {
    const auto* factor = std::getenv("BERYLCRANK_SEEDS");
    return factor == nullptr ? default_count : default_count * std::strtoull(factor, nullptr, 10);
}

inline ticket base_ticket(std::uint64_t number) {
    ticket out{.number = number};
    out.services = {{.name = "s0"}, {.name = "s1"}};
    out.failure_domains = {{.name = "f0", .region = "r"}, {.name = "f1", .region = "r"}};
    return out;
}

inline ticket upstream_ticket(std::uint64_t number, const std::string& name,
                              const std::string& service = "s0", std::uint32_t slots = 4) {
    ticket out{.number = number};
    out.upstreams = {
        {.name = name, .service = service, .failure_domain = "f0", .address = "10.0.0.1:80", .slots = slots}};
    return out;
}

inline ticket removal_ticket(std::uint64_t number, object_kind kind, const std::string& name) {
    ticket out{.number = number};
    out.removals = {{kind, name}};
    return out;
}

/** A log of random tickets, assignments and some corrupt records. Few objects and close ticket numbers make
    conflicts, duplicates, removals and rejections frequent. */
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
            ticket change{.number = number};
            change.services = {{.name = service, .weight = static_cast<std::uint32_t>(1 + random.below(3))}};
            out.push_back(encode_ticket_record(change));
            break;
        }
        case 3:
            out.push_back(out[random.below(out.size())]);
            break;
        case 4:
            out.push_back(std::string("damaged"));
            break;
        case 5: {
            const holder_assignment assignment{.group = static_cast<std::uint32_t>(random.below(3)),
                                               .holder = incarnation{1 + random.below(3)},
                                               .replaces = incarnation{random.below(3)}};
            out.push_back(encode_assignments({&assignment, 1}));
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

/** Applies the records from `state.applied()` up to `end`. */
inline void apply_to(config_state& state, const std::vector<std::string>& log, std::size_t end) {
    while (state.applied() < end) {
        state.apply(state.applied(), log[state.applied()]);
    }
}

/** Formats the state and its view as text for comparison. */
inline std::string describe_contents(const config_state& state) {
    std::vector<std::string> lines;
    state.view()->for_each_service([&](const service_view& service) {
        auto line = service.config->name + " weight " + std::to_string(service.config->weight) + ":";
        for (const auto& upstream : service.upstreams) {
            line += " " + upstream->name + "/" + std::to_string(upstream->slots);
            if (state.view()->find_upstream(upstream->name) != upstream.get()) {
                line += " (differs)";
            }
        }
        lines.push_back(line);
    });
    std::sort(lines.begin(), lines.end());
    std::string out = "digest " + std::to_string(state.content().digest()) + "\n";
    for (const auto& line : lines) {
        out += line + "\n";
    }
    for (std::size_t group = 0; group < 3; ++group) {
        out += "holder " + std::to_string(state.view()->holder_of(group).holder.value) + "\n";
    }
    return out;
}

} // namespace berylcrank::testing
