#include "bench/policy/fake_pool.h"

#include <cmath>

namespace berylcrank::bench {

namespace {

constexpr millis tick_interval{10};
constexpr std::uint64_t node_seeds = 1000;

attempt_outcome outcome_of(upstream_end it) {
    switch (it) {
    case upstream_end::good:
        return attempt_outcome::success;
    case upstream_end::error:
        return attempt_outcome::error;
    case upstream_end::shed:
        return attempt_outcome::shed;
    case upstream_end::refused:
        return attempt_outcome::connect_failed;
    case upstream_end::lost:
        break;
    }
    return attempt_outcome::lost;
}

run_verdict verdict_of(upstream_end it) {
    return it == upstream_end::shed || it == upstream_end::refused ? run_verdict::not_run
                                                                   : run_verdict::may_have_run;
}

} // namespace

fake_pool::fake_pool(const pool_options& it)
    : options_(it), arrivals_(it.seed), domain_in_use_(it.failure_domains, true) {
    const std::uint32_t total = it.slots * static_cast<std::uint32_t>(it.upstreams);
    double per_ms = 0;
    for (std::size_t n = 0; n < request_class_count; ++n) {
        per_ms += it.mix.load[n] * total / it.mix.work_ms[n];
    }
    mean_gap_ms_ = 1 / per_ms;
    if (it.is_central) {
        central_ = std::make_unique<fake_upstream>(events_, total, it.seed);
        return;
    }
    for (std::size_t n = 0; n < it.upstreams; ++n) {
        upstreams_.push_back(std::make_unique<fake_upstream>(events_, it.slots, it.seed + n));
        upstreams_.back()->set({.shed_at = it.shed_at});
    }
    for (std::size_t n = 0; n < it.nodes; ++n) {
        auto options = it.router;
        options.node = n + 1;
        options.seed = it.seed * node_seeds + n;
        nodes_.push_back({std::make_unique<service_router>(it.service, options)});
        events_.after(tick_interval * arrivals_.unit(), [this, n] { tick(n); });
    }
    update();
}

void fake_pool::update() {
    std::vector<routed_upstream> all;
    for (std::size_t n = 0; n < upstreams_.size(); ++n) {
        all.push_back({.config = {.name = std::to_string(n),
                                  .service = options_.service.name,
                                  .failure_domain = std::to_string(domain_of(n)),
                                  .slots = options_.slots},
                       .is_domain_in_use = domain_in_use_[domain_of(n)]});
    }
    for (auto& it : nodes_) {
        it.router->update(options_.service, all, events_.now());
    }
}

void fake_pool::set_domain_in_use(std::size_t domain, bool in_use) {
    domain_in_use_[domain] = in_use;
    update();
}

void fake_pool::tick(std::size_t n) {
    nodes_[n].router->tick(events_.now());
    probe(n);
    events_.after(tick_interval, [this, n] { tick(n); });
}

void fake_pool::probe(std::size_t n) {
    const auto target = nodes_[n].router->next_probe(events_.now());
    if (!target) {
        return;
    }
    for (auto& it : results_) {
        ++it.probes;
    }
    const auto started = events_.now();
    const auto to = std::stoul(target->name);
    events_.after(options_.one_way, [=, this] {
        upstreams_[to]->arrive(options_.probe_ms, [=, this](upstream_end end, const auto& load) {
            events_.after(options_.one_way, [=, this] {
                // The load endpoint answers last; the queue before it is not the probe's cost.
                const auto took = std::min(events_.now() - started, millis::from_value(options_.probe_ms));
                nodes_[n].router->probe_done(
                    std::to_string(to), end == upstream_end::good ? load : std::nullopt, took, events_.now());
            });
        });
    });
}

void fake_pool::run_until(instant end) {
    if (!is_started_) {
        is_started_ = true;
        arrive();
    }
    events_.run_until(end);
}

double fake_pool::draw_work(request_class cls) {
    const double mean = options_.mix.work_ms[static_cast<std::size_t>(cls)];
    const double it = arrivals_.unit();
    if (options_.is_bimodal) {
        return it < 0.1 ? mean * 5.5 : mean * 0.5;
    }
    return -std::log(1 - it) * mean;
}

void fake_pool::arrive() {
    const auto now = events_.now();
    double pick = arrivals_.unit();
    std::size_t cls = 0;
    const double total = 1 / mean_gap_ms_;
    for (; cls + 1 < request_class_count; ++cls) {
        const double share = options_.mix.load[cls] * options_.slots *
                             static_cast<double>(options_.upstreams) / options_.mix.work_ms[cls] / total;
        if (pick < share) {
            break;
        }
        pick -= share;
    }
    auto it = std::make_shared<call>();
    it->cls = static_cast<request_class>(cls);
    it->node = arrivals_.below(options_.nodes);
    it->work_ms = draw_work(it->cls);
    it->arrived = now;
    it->deadline = now + options_.mix.deadline[cls];
    it->is_measured = std::ranges::any_of(
        windows_, [&](const auto& window) { return now >= window.first && now < window.second; });
    result_of(*it).requests += it->is_measured ? 1 : 0;
    const double gap = -std::log(1 - arrivals_.unit()) * mean_gap_ms_;
    events_.after(millis::from_value(gap), [this] { arrive(); });
    if (options_.is_central) {
        send_central(it);
    } else {
        send(it, attempt_kind::first);
    }
}

void fake_pool::send_central(const std::shared_ptr<call>& it) {
    events_.after(options_.one_way, [this, it] {
        central_->arrive(it->work_ms, [this, it](upstream_end /*end*/, const auto& /*load*/) {
            events_.after(options_.one_way, [this, it] { succeed(it); });
        });
    });
}

void fake_pool::send(const std::shared_ptr<call>& it, attempt_kind kind) {
    ++it->open;
    route_request request{.request_class = it->cls,
                          .deadline = it->deadline,
                          .kind = kind,
                          .excluded = it->tried,
                          .may_wait = kind != attempt_kind::hedge};
    const auto done = [this, it, kind](const route_result& result) {
        if (const auto* granted = std::get_if<route_grant>(&result)) {
            ++it->attempts;
            result_of(*it).attempts += it->is_measured ? 1 : 0;
            result_of(*it).hedges += it->is_measured && kind == attempt_kind::hedge ? 1 : 0;
            dispatch(it, *granted);
            if (kind == attempt_kind::first) {
                hedge_later(it);
            }
        } else if (--it->open == 0) {
            fail(it, kind == attempt_kind::first);
        }
    };
    nodes_[it->node].router->acquire(std::move(request), done, events_.now());
}

void fake_pool::hedge_later(const std::shared_ptr<call>& it) {
    if (options_.service.hedge_budget_percent <= 0 || it->cls != request_class::lookup) {
        return;
    }
    if (const auto delay = nodes_[it->node].router->hedge_delay()) {
        events_.after(*delay, [this, it] {
            if (!it->is_done && it->open == 1 && it->attempts == 1) {
                send(it, attempt_kind::hedge);
            }
        });
    }
}

void fake_pool::dispatch(const std::shared_ptr<call>& it, const route_grant& grant) {
    auto part = std::make_shared<attempt>();
    part->grant = grant;
    part->upstream = std::stoul(grant.upstream->name);
    it->tried.push_back(grant.upstream->name);
    it->live.push_back(part);
    events_.after(options_.one_way, [this, it, part] {
        if (part->is_over) {
            return;
        }
        const auto number = upstreams_[part->upstream]->arrive(
            it->work_ms, [this, it, part](upstream_end end, std::optional<load_report> load) {
                events_.after(options_.one_way, [this, it, part, end, load] { finish(it, part, end, load); });
            });
        part->number = number;
    });
}

void fake_pool::finish(const std::shared_ptr<call>& it, const std::shared_ptr<attempt>& part,
                       upstream_end end, const std::optional<load_report>& load) {
    if (part->is_over) {
        return;
    }
    part->is_over = true;
    --it->open;
    auto& router = *nodes_[it->node].router;
    const auto now = events_.now();
    if (on_attempt) {
        on_attempt(it->node, part->grant.upstream->name, end == upstream_end::good);
    }
    if (load) {
        router.report_load(part->grant, *load, now);
    }
    router.release(part->grant, outcome_of(end), now);
    if (it->is_done) {
        return;
    }
    if (end == upstream_end::good) {
        succeed(it);
        cancel_rest(it);
    } else {
        result_of(*it).sheds += it->is_measured && end == upstream_end::shed ? 1 : 0;
        if (it->open == 0) {
            retry(it, end);
        }
    }
}

void fake_pool::retry(const std::shared_ptr<call>& it, upstream_end end) {
    const failed_attempt failed{.verdict = verdict_of(end),
                                .is_idempotent = it->cls != request_class::order,
                                .attempts = it->attempts,
                                .deadline = it->deadline,
                                .expected_latency = nodes_[it->node].router->expected_latency()};
    if (may_retry(failed, events_.now())) {
        send(it, attempt_kind::retry);
    } else {
        fail(it, false);
    }
}

void fake_pool::cancel_rest(const std::shared_ptr<call>& it) {
    for (const auto& part : it->live) {
        if (!part->is_over) {
            part->is_over = true;
            nodes_[it->node].router->release(part->grant, attempt_outcome::unused, events_.now());
            events_.after(options_.one_way,
                          [this, part] { upstreams_[part->upstream]->cancel(part->number); });
        }
    }
}

void fake_pool::succeed(const std::shared_ptr<call>& it) {
    it->is_done = true;
    if (it->is_measured && events_.now() > it->deadline) {
        ++result_of(*it).late;
    } else if (it->is_measured) {
        const double ms = (events_.now() - it->arrived).value();
        result_of(*it).latency_ms.push_back(static_cast<float>(ms));
        result_of(*it).queueing_ms.push_back(static_cast<float>(ms - it->work_ms));
    }
}

void fake_pool::fail(const std::shared_ptr<call>& it, bool is_refused) {
    it->is_done = true;
    if (it->is_measured) {
        auto& result = result_of(*it);
        (is_refused ? result.refused : result.lost) += 1;
    }
}

} // namespace berylcrank::bench
