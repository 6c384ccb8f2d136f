#include "bench/policy/fake_pool.h"

#include <cmath>

namespace berylcrank::bench {

namespace {

constexpr millis tick_interval{10};
constexpr std::uint64_t node_seed_stride = 1000;

attempt_outcome attempt_outcome_of(upstream_outcome outcome) {
    switch (outcome) {
    case upstream_outcome::success:
        return attempt_outcome::success;
    case upstream_outcome::error:
        return attempt_outcome::error;
    case upstream_outcome::shed:
        return attempt_outcome::shed;
    case upstream_outcome::refused:
        return attempt_outcome::connect_failed;
    case upstream_outcome::lost:
        break;
    }
    return attempt_outcome::lost;
}

run_verdict verdict_of(upstream_outcome outcome) {
    return outcome == upstream_outcome::shed || outcome == upstream_outcome::refused
               ? run_verdict::not_run
               : run_verdict::may_have_run;
}

} // namespace

fake_pool::fake_pool(const pool_options& opts)
    : options_(opts), arrivals_(opts.seed), domain_in_use_(opts.failure_domains, true) {
    const std::uint32_t total_slots = opts.slots * static_cast<std::uint32_t>(opts.upstreams);
    double requests_per_ms = 0;
    for (std::size_t n = 0; n < request_class_count; ++n) {
        requests_per_ms += opts.mix.load[n] * total_slots / opts.mix.mean_service_ms[n];
    }
    mean_interval_ms_ = 1 / requests_per_ms;
    if (opts.has_central_queue) {
        central_queue_ = std::make_unique<fake_upstream>(events_, total_slots, opts.seed);
        return;
    }
    for (std::size_t n = 0; n < opts.upstreams; ++n) {
        upstreams_.push_back(std::make_unique<fake_upstream>(events_, opts.slots, opts.seed + n));
        upstreams_.back()->set({.shed_threshold = opts.shed_threshold});
    }
    for (std::size_t n = 0; n < opts.nodes; ++n) {
        auto router_options = opts.router;
        router_options.node = n + 1;
        router_options.seed = opts.seed * node_seed_stride + n;
        nodes_.push_back({std::make_unique<service_router>(opts.service, router_options)});
        events_.run_after(tick_interval * arrivals_.unit(), [this, n] { tick(n); });
    }
    update_routers();
}

void fake_pool::update_routers() {
    std::vector<routed_upstream> upstreams;
    for (std::size_t n = 0; n < upstreams_.size(); ++n) {
        upstreams.push_back({.config = {.name = std::to_string(n),
                                        .service = options_.service.name,
                                        .failure_domain = std::to_string(domain_of(n)),
                                        .slots = options_.slots},
                             .is_domain_in_use = domain_in_use_[domain_of(n)]});
    }
    for (auto& node : nodes_) {
        node.router->update(options_.service, upstreams, events_.now());
    }
}

void fake_pool::set_domain_in_use(std::size_t domain, bool in_use) {
    domain_in_use_[domain] = in_use;
    update_routers();
}

void fake_pool::tick(std::size_t node) {
    nodes_[node].router->tick(events_.now());
    probe(node);
    events_.run_after(tick_interval, [this, node] { tick(node); });
}

void fake_pool::probe(std::size_t node) {
    const auto target = nodes_[node].router->next_probe(events_.now());
    if (!target) {
        return;
    }
    for (auto& result : results_) {
        ++result.probes;
    }
    const auto started = events_.now();
    const auto upstream_index = std::stoul(target->name);
    events_.run_after(options_.one_way_delay, [=, this] {
        upstreams_[upstream_index]->submit(options_.probe_ms, [=, this](upstream_outcome outcome,
                                                                        const auto& load) {
            events_.run_after(options_.one_way_delay, [=, this] {
                // The upstream runs a probe after its queued requests. The wait for them is not part of the
                // probe's cost.
                const auto probe_time =
                    std::min(events_.now() - started, millis::from_value(options_.probe_ms));
                nodes_[node].router->probe_done(std::to_string(upstream_index),
                                                outcome == upstream_outcome::success ? load : std::nullopt,
                                                probe_time, events_.now());
            });
        });
    });
}

void fake_pool::run_until(instant end) {
    if (!is_started_) {
        is_started_ = true;
        on_arrival();
    }
    events_.run_until(end);
}

double fake_pool::draw_service_ms(request_class cls) {
    const double mean = options_.mix.mean_service_ms[static_cast<std::size_t>(cls)];
    const double uniform = arrivals_.unit();
    if (options_.is_bimodal) {
        return uniform < 0.1 ? mean * 5.5 : mean * 0.5;
    }
    return -std::log(1 - uniform) * mean;
}

void fake_pool::on_arrival() {
    const auto now = events_.now();
    double position = arrivals_.unit();
    std::size_t cls = 0;
    const double requests_per_ms = 1 / mean_interval_ms_;
    for (; cls + 1 < request_class_count; ++cls) {
        const double share = options_.mix.load[cls] * options_.slots *
                             static_cast<double>(options_.upstreams) / options_.mix.mean_service_ms[cls] /
                             requests_per_ms;
        if (position < share) {
            break;
        }
        position -= share;
    }
    auto request = std::make_shared<pending_request>();
    request->cls = static_cast<request_class>(cls);
    request->node = arrivals_.below(options_.nodes);
    request->service_ms = draw_service_ms(request->cls);
    request->arrived = now;
    request->deadline = now + options_.mix.timeout[cls];
    request->is_measured = std::ranges::any_of(
        measurement_windows_, [&](const auto& window) { return now >= window.first && now < window.second; });
    result_of(*request).requests += request->is_measured ? 1 : 0;
    const double interval = -std::log(1 - arrivals_.unit()) * mean_interval_ms_;
    events_.run_after(millis::from_value(interval), [this] { on_arrival(); });
    if (options_.has_central_queue) {
        send_to_central_queue(request);
    } else {
        send(request, attempt_kind::first);
    }
}

void fake_pool::send_to_central_queue(const std::shared_ptr<pending_request>& request) {
    events_.run_after(options_.one_way_delay, [this, request] {
        central_queue_->submit(
            request->service_ms, [this, request](upstream_outcome /*outcome*/, const auto& /*load*/) {
                events_.run_after(options_.one_way_delay, [this, request] { succeed(request); });
            });
    });
}

void fake_pool::send(const std::shared_ptr<pending_request>& request, attempt_kind kind) {
    ++request->open_attempts;
    route_request route{.request_class = request->cls,
                        .deadline = request->deadline,
                        .kind = kind,
                        .excluded = request->tried_upstreams,
                        .may_wait = kind != attempt_kind::hedge};
    const auto done = [this, request, kind](const route_result& result) {
        if (const auto* granted = std::get_if<route_grant>(&result)) {
            ++request->attempt_count;
            result_of(*request).attempts += request->is_measured ? 1 : 0;
            result_of(*request).hedges += request->is_measured && kind == attempt_kind::hedge ? 1 : 0;
            dispatch(request, *granted);
            if (kind == attempt_kind::first) {
                schedule_hedge(request);
            }
        } else if (--request->open_attempts == 0) {
            fail(request, kind == attempt_kind::first);
        }
    };
    nodes_[request->node].router->acquire(std::move(route), done, events_.now());
}

void fake_pool::schedule_hedge(const std::shared_ptr<pending_request>& request) {
    if (options_.service.hedge_budget_percent <= 0 || request->cls != request_class::lookup) {
        return;
    }
    if (const auto delay = nodes_[request->node].router->hedge_delay()) {
        events_.run_after(*delay, [this, request] {
            if (!request->is_done && request->open_attempts == 1 && request->attempt_count == 1) {
                send(request, attempt_kind::hedge);
            }
        });
    }
}

void fake_pool::dispatch(const std::shared_ptr<pending_request>& request, const route_grant& grant) {
    auto attempt = std::make_shared<attempt_state>();
    attempt->grant = grant;
    attempt->upstream = std::stoul(grant.upstream->name);
    request->tried_upstreams.push_back(grant.upstream->name);
    request->attempts.push_back(attempt);
    events_.run_after(options_.one_way_delay, [this, request, attempt] {
        if (attempt->is_finished) {
            return;
        }
        const auto number = upstreams_[attempt->upstream]->submit(
            request->service_ms,
            [this, request, attempt](upstream_outcome outcome, std::optional<load_report> load) {
                events_.run_after(options_.one_way_delay, [this, request, attempt, outcome, load] {
                    finish(request, attempt, outcome, load);
                });
            });
        attempt->number = number;
    });
}

void fake_pool::finish(const std::shared_ptr<pending_request>& request,
                       const std::shared_ptr<attempt_state>& attempt, upstream_outcome outcome,
                       const std::optional<load_report>& load) {
    if (attempt->is_finished) {
        return;
    }
    attempt->is_finished = true;
    --request->open_attempts;
    auto& router = *nodes_[request->node].router;
    const auto now = events_.now();
    if (on_attempt) {
        on_attempt(request->node, attempt->grant.upstream->name, outcome == upstream_outcome::success);
    }
    if (load) {
        router.report_load(attempt->grant, *load, now);
    }
    router.release(attempt->grant, attempt_outcome_of(outcome), now);
    if (request->is_done) {
        return;
    }
    if (outcome == upstream_outcome::success) {
        succeed(request);
        cancel_other_attempts(request);
    } else {
        result_of(*request).sheds += request->is_measured && outcome == upstream_outcome::shed ? 1 : 0;
        if (request->open_attempts == 0) {
            retry(request, outcome);
        }
    }
}

void fake_pool::retry(const std::shared_ptr<pending_request>& request, upstream_outcome outcome) {
    const failed_attempt failed{.verdict = verdict_of(outcome),
                                .is_idempotent = request->cls != request_class::order,
                                .attempts = request->attempt_count,
                                .deadline = request->deadline,
                                .expected_latency = nodes_[request->node].router->expected_latency()};
    if (may_retry(failed, events_.now())) {
        send(request, attempt_kind::retry);
    } else {
        fail(request, false);
    }
}

void fake_pool::cancel_other_attempts(const std::shared_ptr<pending_request>& request) {
    for (const auto& attempt : request->attempts) {
        if (!attempt->is_finished) {
            attempt->is_finished = true;
            nodes_[request->node].router->release(attempt->grant, attempt_outcome::unused, events_.now());
            events_.run_after(options_.one_way_delay,
                              [this, attempt] { upstreams_[attempt->upstream]->cancel(attempt->number); });
        }
    }
}

void fake_pool::succeed(const std::shared_ptr<pending_request>& request) {
    request->is_done = true;
    if (request->is_measured && events_.now() > request->deadline) {
        ++result_of(*request).late;
    } else if (request->is_measured) {
        const double ms = (events_.now() - request->arrived).value();
        result_of(*request).latency_ms.push_back(static_cast<float>(ms));
        result_of(*request).queueing_ms.push_back(static_cast<float>(ms - request->service_ms));
    }
}

void fake_pool::fail(const std::shared_ptr<pending_request>& request, bool is_refused) {
    request->is_done = true;
    if (request->is_measured) {
        auto& result = result_of(*request);
        (is_refused ? result.refused : result.lost) += 1;
    }
}

} // namespace berylcrank::bench
