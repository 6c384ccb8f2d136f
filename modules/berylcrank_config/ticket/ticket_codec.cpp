#include "modules/berylcrank_config/ticket/ticket_codec.h"

namespace berylcrank {

namespace {

std::string text_of(capnp::Text::Reader text) {
    return {text.cStr(), text.size()};
}

capnp::Text::Reader text_of(const std::string& text) {
    return {text.c_str(), text.size()};
}

millis millis_of(std::uint32_t count) {
    return millis{count};
}

} // namespace

service_config read_service(schema::Service::Reader in) {
    return {.name = text_of(in.getName()),
            .request_class = static_cast<request_class>(in.getRequestClass()),
            .weight = in.getWeight(),
            .deadline = millis_of(in.getDeadlineMs()),
            .retry_budget_percent = in.getRetryBudgetPercent(),
            .hedge_budget_percent = in.getHedgeBudgetPercent(),
            .probe_budget_percent = in.getProbeBudgetPercent(),
            .cold_concurrency = in.getColdConcurrency(),
            .warm_requests = in.getWarmRequests(),
            .queue_limit = in.getQueueLimit(),
            .latency_objective = millis_of(in.getLatencyObjectiveMs()),
            .latency_objective_percent = in.getLatencyObjectivePercent(),
            .availability_objective_percent = in.getAvailabilityObjectivePercent()};
}

failure_domain_config read_failure_domain(schema::FailureDomain::Reader in) {
    return {.name = text_of(in.getName()), .region = text_of(in.getRegion()), .in_use = in.getInUse()};
}

upstream_config read_upstream(schema::Upstream::Reader in) {
    return {.name = text_of(in.getName()),
            .service = text_of(in.getService()),
            .failure_domain = text_of(in.getFailureDomain()),
            .address = text_of(in.getAddress()),
            .slots = in.getSlots(),
            .max_connections = in.getMaxConnections(),
            .draining = in.getDraining()};
}

object_key read_removal(schema::Removal::Reader in) {
    return {.kind = static_cast<object_kind>(in.getKind()), .name = text_of(in.getName())};
}

ticket read_ticket(schema::Ticket::Reader in) {
    ticket out{.number = in.getNumber(), .author = text_of(in.getAuthor()), .note = text_of(in.getNote())};
    for (const auto object : in.getServices()) {
        out.services.push_back(read_service(object));
    }
    for (const auto object : in.getFailureDomains()) {
        out.failure_domains.push_back(read_failure_domain(object));
    }
    for (const auto object : in.getUpstreams()) {
        out.upstreams.push_back(read_upstream(object));
    }
    for (const auto object : in.getRemovals()) {
        out.removals.push_back(read_removal(object));
    }
    return out;
}

void write_service(const service_config& service, schema::Service::Builder out) {
    out.setName(text_of(service.name));
    out.setRequestClass(static_cast<schema::RequestClass>(service.request_class));
    out.setWeight(static_cast<std::uint16_t>(service.weight));
    out.setDeadlineMs(static_cast<std::uint32_t>(service.deadline.count()));
    out.setRetryBudgetPercent(static_cast<float>(service.retry_budget_percent));
    out.setHedgeBudgetPercent(static_cast<float>(service.hedge_budget_percent));
    out.setProbeBudgetPercent(static_cast<float>(service.probe_budget_percent));
    out.setColdConcurrency(static_cast<std::uint16_t>(service.cold_concurrency));
    out.setWarmRequests(service.warm_requests);
    out.setQueueLimit(service.queue_limit);
    out.setLatencyObjectiveMs(static_cast<std::uint32_t>(service.latency_objective.count()));
    out.setLatencyObjectivePercent(static_cast<float>(service.latency_objective_percent));
    out.setAvailabilityObjectivePercent(static_cast<float>(service.availability_objective_percent));
}

void write_failure_domain(const failure_domain_config& domain, schema::FailureDomain::Builder out) {
    out.setName(text_of(domain.name));
    out.setRegion(text_of(domain.region));
    out.setInUse(domain.in_use);
}

void write_upstream(const upstream_config& upstream, schema::Upstream::Builder out) {
    out.setName(text_of(upstream.name));
    out.setService(text_of(upstream.service));
    out.setFailureDomain(text_of(upstream.failure_domain));
    out.setAddress(text_of(upstream.address));
    out.setSlots(static_cast<std::uint16_t>(upstream.slots));
    out.setMaxConnections(upstream.max_connections);
    out.setDraining(upstream.draining);
}

void write_removal(const object_key& key, schema::Removal::Builder out) {
    out.setKind(static_cast<schema::ObjectKind>(key.kind));
    out.setName(text_of(key.name));
}

void write_ticket(const ticket& change, schema::Ticket::Builder out) {
    out.setNumber(change.number);
    if (!change.author.empty()) {
        out.setAuthor(text_of(change.author));
    }
    if (!change.note.empty()) {
        out.setNote(text_of(change.note));
    }
    auto services = out.initServices(static_cast<unsigned>(change.services.size()));
    for (unsigned i = 0; i < services.size(); ++i) {
        write_service(change.services[i], services[i]);
    }
    auto domains = out.initFailureDomains(static_cast<unsigned>(change.failure_domains.size()));
    for (unsigned i = 0; i < domains.size(); ++i) {
        write_failure_domain(change.failure_domains[i], domains[i]);
    }
    auto upstreams = out.initUpstreams(static_cast<unsigned>(change.upstreams.size()));
    for (unsigned i = 0; i < upstreams.size(); ++i) {
        write_upstream(change.upstreams[i], upstreams[i]);
    }
    auto removals = out.initRemovals(static_cast<unsigned>(change.removals.size()));
    for (unsigned i = 0; i < removals.size(); ++i) {
        write_removal(change.removals[i], removals[i]);
    }
}

} // namespace berylcrank
