#include "modules/berylcrank_config/ticket/object_digest.h"

#include "modules/berylcrank_config/ticket/canonical_bytes.h"

#include <algorithm>

namespace berylcrank {

namespace {

/** Distinguishes a removal from an object of the same kind. */
constexpr std::uint64_t removal_mark = 0x100;

std::uint64_t number_of(object_kind it) {
    return static_cast<std::uint64_t>(it);
}

std::uint64_t number_of(millis it) {
    return static_cast<std::uint64_t>(it.count());
}

} // namespace

std::uint64_t digest_of(const service_config& it) {
    return canonical_bytes()
        .add(number_of(object_kind::service))
        .add(it.name)
        .add(static_cast<std::uint64_t>(it.request_class))
        .add(std::uint64_t{it.weight})
        .add(number_of(it.deadline))
        .add_float(it.retry_budget_percent)
        .add_float(it.hedge_budget_percent)
        .add_float(it.probe_budget_percent)
        .add(std::uint64_t{it.cold_concurrency})
        .add(std::uint64_t{it.warm_requests})
        .add(std::uint64_t{it.queue_limit})
        .add(number_of(it.latency_objective))
        .add_float(it.latency_objective_percent)
        .add_float(it.availability_objective_percent)
        .digest();
}

std::uint64_t digest_of(const failure_domain_config& it) {
    return canonical_bytes()
        .add(number_of(object_kind::failure_domain))
        .add(it.name)
        .add(it.region)
        .add(std::uint64_t{it.in_use})
        .digest();
}

std::uint64_t digest_of(const upstream_config& it) {
    return canonical_bytes()
        .add(number_of(object_kind::upstream))
        .add(it.name)
        .add(it.service)
        .add(it.failure_domain)
        .add(it.address)
        .add(std::uint64_t{it.slots})
        .add(std::uint64_t{it.max_connections})
        .add(std::uint64_t{it.draining})
        .digest();
}

std::uint64_t digest_of_removal(const object_key& it) {
    return canonical_bytes().add(removal_mark + number_of(it.kind)).add(it.name).digest();
}

std::uint64_t digest_of(const ticket& it) {
    std::vector<std::uint64_t> objects;
    for (const auto& object : it.services) {
        objects.push_back(digest_of(object));
    }
    for (const auto& object : it.failure_domains) {
        objects.push_back(digest_of(object));
    }
    for (const auto& object : it.upstreams) {
        objects.push_back(digest_of(object));
    }
    for (const auto& object : it.removals) {
        objects.push_back(digest_of_removal(object));
    }
    std::sort(objects.begin(), objects.end());
    canonical_bytes bytes;
    bytes.add(it.number).add(it.author).add(it.note);
    for (const auto object : objects) {
        bytes.add(object);
    }
    return bytes.digest();
}

} // namespace berylcrank
