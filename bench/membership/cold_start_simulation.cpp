#include "bench/membership/cold_start_simulation.h"

#include "modules/berylcrank_routing/cold/holder_election.h"

#include <algorithm>

namespace berylcrank::bench {

namespace {

constexpr millis one_way = millis::from_micros(500); // Between failure domains.
constexpr millis retry{20};
constexpr millis gossip_interval{300};
constexpr std::size_t fan_out = 3;
constexpr millis run_limit{1800};
constexpr millis longest{120000};

} // namespace

cold_start_simulation::cold_start_simulation(const options& it) : options_(it), random_(it.seed) {
    std::vector<incarnation> runs;
    for (std::size_t i = 0; i < it.nodes; ++i) {
        runs.push_back(incarnation{random_.next() | 1U});
        nodes_.push_back({runs.back(),
                          std::make_unique<permit_issuer>(permit_issuer::options{.self = runs.back()}),
                          std::make_unique<cold_gate>()});
    }
    std::array<incarnation, group_count> holders;
    for (std::uint32_t group = 0; group < group_count; ++group) {
        for (std::size_t i = 0; i < runs.size(); ++i) {
            if (holder_election::rank(group, runs[i], runs) == 0) {
                holders[group] = runs[i];
                nodes_[i].issuer->hold_immediately(group);
            }
        }
    }
    for (std::size_t i = 0; i < it.upstreams; ++i) {
        const auto name = "inventario-" + std::to_string(i);
        const auto holder = std::ranges::find(runs, holders[group_of(name)]);
        upstreams_.push_back({name, static_cast<std::size_t>(holder - runs.begin())});
    }
    for (std::size_t i = 0; i < it.nodes; ++i) {
        nodes_[i].gate->set_holders(holders);
        at(millis{static_cast<std::int64_t>(random_.below(300))}, [this, i] { gossip(i); });
        for (std::size_t k = 0; k < it.upstreams; ++k) {
            at(millis::from_micros(static_cast<std::int64_t>(random_.below(20000))),
               [this, i, k] { ask(i, k); });
        }
    }
}

cold_start_simulation::outcome cold_start_simulation::run() {
    const auto knows_all = [&](const node& it) {
        return std::ranges::all_of(
            upstreams_, [&](const upstream& some) { return it.gate->is_warm(some.name, some.name + "-p"); });
    };
    while (now_ - start_ < longest) {
        auto it = events_.extract(events_.begin());
        now_ = it.key();
        it.mapped()();
        if (warm_ == upstreams_.size() && std::ranges::all_of(nodes_, knows_all)) {
            outcome_.all_known = now_ - start_;
            break;
        }
    }
    return outcome_;
}

void cold_start_simulation::ask(std::size_t from, std::size_t to) {
    ++outcome_.asks;
    const auto asked = now_;
    at(one_way, [this, from, to, asked] {
        auto& some = upstreams_[to];
        auto& issuer = *nodes_[some.holder].issuer;
        issuer.confirm_holder(now_);
        const auto answer =
            issuer.acquire(nodes_[from].run, some.name, request_class::lookup, options_.limits, now_);
        at(one_way, [this, from, to, answer, asked] {
            if (answer.granted) {
                send(from, to, answer, asked);
            } else {
                at(std::max(answer.retry_after, retry), [this, from, to] { ask(from, to); });
            }
        });
    });
}

void cold_start_simulation::send(std::size_t from, std::size_t to, const permit_response& permit,
                                 instant asked) {
    auto& self = nodes_[from];
    auto& some = upstreams_[to];
    if (self.gate->is_warm(some.name, some.name + "-p")) {
        return; // From here on this node's connections are verified one after the other.
    }
    const auto work = std::make_shared<cold_attempt>(some.name);
    work->set_permit({permit.permit, some.name, nodes_[some.holder].run, asked + permit.expires_after},
                     run_limit);
    if (!self.gate->may_send(*work, ++self.last_port, true, now_)) {
        return;
    }
    at(one_way, [this, from, to, work] {
        auto& target = upstreams_[to];
        ++target.in_flight;
        if (!target.is_warm) {
            outcome_.most_in_flight = std::max(outcome_.most_in_flight, target.in_flight);
        }
        at(options_.service, [this, from, to, work] {
            --upstreams_[to].in_flight;
            at(one_way, [this, from, to, work] {
                auto& it = upstreams_[to];
                if (outcome_.first_answer == millis{0}) {
                    outcome_.first_answer = now_ - start_;
                }
                auto early = nodes_[from].gate->on_head(*work, it.name + "-p", false);
                auto release = nodes_[from].gate->finish(*work, cold_outcome::success);
                at(one_way, [this, to, release = early ? early : release] {
                    auto& holder = upstreams_[to].holder;
                    nodes_[holder].issuer->release(*release, options_.limits, now_);
                    take_news(holder);
                });
                ask(from, to);
            });
        });
    });
}

void cold_start_simulation::take_news(std::size_t from) {
    for (const auto& news : nodes_[from].issuer->take_warm_reports()) {
        nodes_[from].gate->on_warm_report(news, now_);
        std::ranges::find(upstreams_, news.upstream, &upstream::name)->is_warm = true;
        ++warm_;
        (warm_ * 2 <= upstreams_.size() + 1 ? outcome_.half_warm : outcome_.all_warm) = now_ - start_;
    }
}

void cold_start_simulation::gossip(std::size_t from) {
    for (std::size_t i = 0; i < fan_out; ++i) {
        const auto to = random_.below(nodes_.size());
        const auto give = [this](const node& a, node& b) {
            for (const auto& it : a.gate->warm_reports(random_, 24, 4, millis{10000}, now_)) {
                b.gate->on_warm_report(it, now_);
            }
        };
        give(nodes_[from], nodes_[to]);
        give(nodes_[to], nodes_[from]);
    }
    at(gossip_interval, [this, from] { gossip(from); });
}

} // namespace berylcrank::bench
