#include "modules/berylcrank_config/ticket/ticket_codec.h"

namespace berylcrank {

namespace {

std::string text_of(capnp::Text::Reader it) {
    return {it.cStr(), it.size()};
}

capnp::Text::Reader text_of(const std::string& it) {
    return {it.c_str(), it.size()};
}

millis millis_of(std::uint32_t it) {
    return millis{it};
}

} // namespace

service_config read_service(schema::Service::Reader it) {
    return {.name = text_of(it.getName()),
            .request_class = static_cast<request_class>(it.getRequestClass()),
            .weight = it.getWeight(),
            .deadline = millis_of(it.getDeadlineMs()),
            .retry_budget_percent = it.getRetryBudgetPercent(),
            .hedge_budget_percent = it.getHedgeBudgetPercent(),
            .probe_budget_percent = it.getProbeBudgetPercent(),
            .cold_concurrency = it.getColdConcurrency(),
            .warm_requests = it.getWarmRequests(),
            .queue_limit = it.getQueueLimit(),
            .latency_objective = millis_of(it.getLatencyObjectiveMs()),
            .latency_objective_percent = it.getLatencyObjectivePercent(),
            .availability_objective_percent = it.getAvailabilityObjectivePercent()};
}

failure_domain_config read_failure_domain(schema::FailureDomain::Reader it) {
    return {.name = text_of(it.getName()), .region = text_of(it.getRegion()), .in_use = it.getInUse()};
}

upstream_config read_upstream(schema::Upstream::Reader it) {
    return {.name = text_of(it.getName()),
            .service = text_of(it.getService()),
            .failure_domain = text_of(it.getFailureDomain()),
            .address = text_of(it.getAddress()),
            .slots = it.getSlots(),
            .max_connections = it.getMaxConnections(),
            .draining = it.getDraining()};
}

object_key read_removal(schema::Removal::Reader it) {
    return {.kind = static_cast<object_kind>(it.getKind()), .name = text_of(it.getName())};
}

ticket read_ticket(schema::Ticket::Reader it) {
    ticket out{.number = it.getNumber(), .author = text_of(it.getAuthor()), .note = text_of(it.getNote())};
    for (const auto object : it.getServices()) {
        out.services.push_back(read_service(object));
    }
    for (const auto object : it.getFailureDomains()) {
        out.failure_domains.push_back(read_failure_domain(object));
    }
    for (const auto object : it.getUpstreams()) {
        out.upstreams.push_back(read_upstream(object));
    }
    for (const auto object : it.getRemovals()) {
        out.removals.push_back(read_removal(object));
    }
    return out;
}

void write_service(const service_config& it, schema::Service::Builder out) {
    out.setName(text_of(it.name));
    out.setRequestClass(static_cast<schema::RequestClass>(it.request_class));
    out.setWeight(static_cast<std::uint16_t>(it.weight));
    out.setDeadlineMs(static_cast<std::uint32_t>(it.deadline.count()));
    out.setRetryBudgetPercent(static_cast<float>(it.retry_budget_percent));
    out.setHedgeBudgetPercent(static_cast<float>(it.hedge_budget_percent));
    out.setProbeBudgetPercent(static_cast<float>(it.probe_budget_percent));
    out.setColdConcurrency(static_cast<std::uint16_t>(it.cold_concurrency));
    out.setWarmRequests(it.warm_requests);
    out.setQueueLimit(it.queue_limit);
    out.setLatencyObjectiveMs(static_cast<std::uint32_t>(it.latency_objective.count()));
    out.setLatencyObjectivePercent(static_cast<float>(it.latency_objective_percent));
    out.setAvailabilityObjectivePercent(static_cast<float>(it.availability_objective_percent));
}

void write_failure_domain(const failure_domain_config& it, schema::FailureDomain::Builder out) {
    out.setName(text_of(it.name));
    out.setRegion(text_of(it.region));
    out.setInUse(it.in_use);
}

void write_upstream(const upstream_config& it, schema::Upstream::Builder out) {
    out.setName(text_of(it.name));
    out.setService(text_of(it.service));
    out.setFailureDomain(text_of(it.failure_domain));
    out.setAddress(text_of(it.address));
    out.setSlots(static_cast<std::uint16_t>(it.slots));
    out.setMaxConnections(it.max_connections);
    out.setDraining(it.draining);
}

void write_removal(const object_key& it, schema::Removal::Builder out) {
    out.setKind(static_cast<schema::ObjectKind>(it.kind));
    out.setName(text_of(it.name));
}

void write_ticket(const ticket& it, schema::Ticket::Builder out) {
    out.setNumber(it.number);
    if (!it.author.empty()) {
        out.setAuthor(text_of(it.author));
    }
    if (!it.note.empty()) {
        out.setNote(text_of(it.note));
    }
    auto services = out.initServices(static_cast<unsigned>(it.services.size()));
    for (unsigned i = 0; i < services.size(); ++i) {
        write_service(it.services[i], services[i]);
    }
    auto domains = out.initFailureDomains(static_cast<unsigned>(it.failure_domains.size()));
    for (unsigned i = 0; i < domains.size(); ++i) {
        write_failure_domain(it.failure_domains[i], domains[i]);
    }
    auto upstreams = out.initUpstreams(static_cast<unsigned>(it.upstreams.size()));
    for (unsigned i = 0; i < upstreams.size(); ++i) {
        write_upstream(it.upstreams[i], upstreams[i]);
    }
    auto removals = out.initRemovals(static_cast<unsigned>(it.removals.size()));
    for (unsigned i = 0; i < removals.size(); ++i) {
        write_removal(it.removals[i], removals[i]);
    }
}

} // namespace berylcrank
