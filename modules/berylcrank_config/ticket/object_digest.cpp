#include "modules/berylcrank_config/ticket/object_digest.h"

#include "modules/berylcrank_config/ticket/canonical_bytes.h"

#include <algorithm>

namespace berylcrank {

namespace {

/** Added to the kind so that a removal never hashes like an object of the same kind. */
constexpr std::uint64_t removal_tag = 0x100;

std::uint64_t number_of(object_kind kind) {
    return static_cast<std::uint64_t>(kind);
}

std::uint64_t number_of(millis duration) {
    return static_cast<std::uint64_t>(duration.count());
}

} // namespace

std::uint64_t digest_of(const service_config& service) {
    return canonical_bytes()
        .add(number_of(object_kind::service))
        .add(service.name)
        .add(static_cast<std::uint64_t>(service.request_class))
        .add(std::uint64_t{service.weight})
        .add(number_of(service.deadline))
        .add_float(service.retry_budget_percent)
        .add_float(service.hedge_budget_percent)
        .add_float(service.probe_budget_percent)
        .add(std::uint64_t{service.cold_concurrency})
        .add(std::uint64_t{service.warm_requests})
        .add(std::uint64_t{service.queue_limit})
        .add(number_of(service.latency_objective))
        .add_float(service.latency_objective_percent)
        .add_float(service.availability_objective_percent)
        .digest();
}

std::uint64_t digest_of(const failure_domain_config& domain) {
    return canonical_bytes()
        .add(number_of(object_kind::failure_domain))
        .add(domain.name)
        .add(domain.region)
        .add(std::uint64_t{domain.in_use})
        .digest();
}

std::uint64_t digest_of(const upstream_config& upstream) {
    return canonical_bytes()
        .add(number_of(object_kind::upstream))
        .add(upstream.name)
        .add(upstream.service)
        .add(upstream.failure_domain)
        .add(upstream.address)
        .add(std::uint64_t{upstream.slots})
        .add(std::uint64_t{upstream.max_connections})
        .add(std::uint64_t{upstream.draining})
        .digest();
}

std::uint64_t digest_of_removal(const object_key& key) {
    return canonical_bytes().add(removal_tag + number_of(key.kind)).add(key.name).digest();
}

std::uint64_t digest_of(const ticket& change) {
    std::vector<std::uint64_t> objects;
    for (const auto& object : change.services) {
        objects.push_back(digest_of(object));
    }
    for (const auto& object : change.failure_domains) {
        objects.push_back(digest_of(object));
    }
    for (const auto& object : change.upstreams) {
        objects.push_back(digest_of(object));
    }
    for (const auto& object : change.removals) {
        objects.push_back(digest_of_removal(object));
    }
    std::sort(objects.begin(), objects.end());
    canonical_bytes bytes;
    bytes.add(change.number).add(change.author).add(change.note);
    for (const auto object : objects) {
        bytes.add(object);
    }
    return bytes.digest();
}

} // namespace berylcrank
