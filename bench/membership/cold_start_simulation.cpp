#include "bench/membership/cold_start_simulation.h"

#include "modules/berylcrank_routing/cold/holder_election.h"

#include <algorithm>

namespace berylcrank::bench {

namespace {

constexpr millis one_way_delay = millis::from_micros(500); // Between failure domains.
constexpr millis min_retry_delay{20};
constexpr millis gossip_interval{300};
constexpr std::size_t fan_out = 3;
constexpr millis run_limit{1800};
constexpr millis max_duration{120000};

} // namespace

cold_start_simulation::cold_start_simulation(const options& opts) : options_(opts), random_(opts.seed) {
    std::vector<incarnation> incarnations;
    for (std::size_t i = 0; i < opts.nodes; ++i) {
        incarnations.push_back(incarnation{random_.next() | 1U});
        nodes_.push_back(
            {incarnations.back(),
             std::make_unique<permit_issuer>(permit_issuer::options{.self = incarnations.back()}),
             std::make_unique<cold_gate>()});
    }
    std::array<incarnation, group_count> holders;
    for (std::uint32_t group = 0; group < group_count; ++group) {
        for (std::size_t i = 0; i < incarnations.size(); ++i) {
            if (holder_election::rank(group, incarnations[i], incarnations) == 0) {
                holders[group] = incarnations[i];
                nodes_[i].issuer->hold_immediately(group);
            }
        }
    }
    for (std::size_t i = 0; i < opts.upstreams; ++i) {
        const auto name = "inventario-" + std::to_string(i);
        const auto holder = std::ranges::find(incarnations, holders[group_of(name)]);
        upstreams_.push_back({name, static_cast<std::size_t>(holder - incarnations.begin())});
    }
    for (std::size_t i = 0; i < opts.nodes; ++i) {
        nodes_[i].gate->set_holders(holders);
        run_after(millis{static_cast<std::int64_t>(random_.below(300))}, [this, i] { gossip(i); });
        for (std::size_t k = 0; k < opts.upstreams; ++k) {
            run_after(millis::from_micros(static_cast<std::int64_t>(random_.below(20000))),
                      [this, i, k] { request_permit(i, k); });
        }
    }
}

cold_start_simulation::outcome cold_start_simulation::run() {
    const auto knows_all = [&](const node& checked) {
        return std::ranges::all_of(upstreams_, [&](const upstream& target) {
            return checked.gate->is_warm(target.name, target.name + "-p");
        });
    };
    while (now_ - start_ < max_duration) {
        auto event = events_.extract(events_.begin());
        now_ = event.key();
        event.mapped()();
        if (warm_count_ == upstreams_.size() && std::ranges::all_of(nodes_, knows_all)) {
            outcome_.known_by_all = now_ - start_;
            break;
        }
    }
    return outcome_;
}

void cold_start_simulation::request_permit(std::size_t from, std::size_t to) {
    ++outcome_.permit_requests;
    const auto requested_at = now_;
    run_after(one_way_delay, [this, from, to, requested_at] {
        auto& target = upstreams_[to];
        auto& issuer = *nodes_[target.holder].issuer;
        issuer.confirm_holder(now_);
        const auto response =
            issuer.acquire(nodes_[from].self, target.name, request_class::lookup, options_.limits, now_);
        run_after(one_way_delay, [this, from, to, response, requested_at] {
            if (response.granted) {
                send(from, to, response, requested_at);
            } else {
                run_after(std::max(response.retry_after, min_retry_delay),
                          [this, from, to] { request_permit(from, to); });
            }
        });
    });
}

void cold_start_simulation::send(std::size_t from, std::size_t to, const permit_response& permit,
                                 instant requested_at) {
    auto& sender = nodes_[from];
    auto& target = upstreams_[to];
    if (sender.gate->is_warm(target.name, target.name + "-p")) {
        return; // The sender needs no permits any more; it verifies its connections one after the other.
    }
    const auto attempt = std::make_shared<cold_attempt>(target.name);
    attempt->set_permit(
        {permit.permit, target.name, nodes_[target.holder].self, requested_at + permit.expires_after},
        run_limit);
    if (!sender.gate->may_send(*attempt, ++sender.last_port, true, now_)) {
        return;
    }
    run_after(one_way_delay, [this, from, to, attempt] {
        auto& receiver = upstreams_[to];
        ++receiver.in_flight;
        if (!receiver.is_warm) {
            outcome_.max_in_flight = std::max(outcome_.max_in_flight, receiver.in_flight);
        }
        run_after(options_.service_time, [this, from, to, attempt] {
            --upstreams_[to].in_flight;
            run_after(one_way_delay, [this, from, to, attempt] {
                auto& responder = upstreams_[to];
                if (outcome_.first_response == millis{0}) {
                    outcome_.first_response = now_ - start_;
                }
                auto early_release = nodes_[from].gate->on_head(*attempt, responder.name + "-p", false);
                auto release = nodes_[from].gate->finish(*attempt, cold_outcome::success);
                run_after(one_way_delay, [this, to, release = early_release ? early_release : release] {
                    auto& holder = upstreams_[to].holder;
                    nodes_[holder].issuer->release(*release, options_.limits, now_);
                    process_warm_reports(holder);
                });
                request_permit(from, to);
            });
        });
    });
}

void cold_start_simulation::process_warm_reports(std::size_t holder) {
    for (const auto& report : nodes_[holder].issuer->take_warm_reports()) {
        nodes_[holder].gate->on_warm_report(report, now_);
        std::ranges::find(upstreams_, report.upstream, &upstream::name)->is_warm = true;
        ++warm_count_;
        (warm_count_ * 2 <= upstreams_.size() + 1 ? outcome_.half_warm : outcome_.all_warm) = now_ - start_;
    }
}

void cold_start_simulation::gossip(std::size_t from) {
    for (std::size_t i = 0; i < fan_out; ++i) {
        const auto to = random_.below(nodes_.size());
        const auto send_reports = [this](const node& source, node& destination) {
            for (const auto& report : source.gate->warm_reports(random_, 24, 4, millis{10000}, now_)) {
                destination.gate->on_warm_report(report, now_);
            }
        };
        send_reports(nodes_[from], nodes_[to]);
        send_reports(nodes_[to], nodes_[from]);
    }
    run_after(gossip_interval, [this, from] { gossip(from); });
}

} // namespace berylcrank::bench
