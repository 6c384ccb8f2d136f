#include "tests/node/order_simulation.h"

#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

constexpr std::array behavior_names{"good",      "unreachable",    "denied",      "cancelled",
                                    "shed",      "shed, no retry", "reset after", "reset before",
                                    "truncated", "sent twice",     "misreported"};

class fake_target final : public attempt_target {
public:
    fake_target(order_simulation& simulation, std::string upstream)
        : behavior(simulation.next_behavior()), simulation_(simulation), upstream_(std::move(upstream)),
          address_(upstream_ + ":80") {}

    [[nodiscard]] const std::string& upstream() const override { return upstream_; }
    [[nodiscard]] const std::string& address() const override { return address_; }
    bool may_send(const connection_info& /*it*/) override { return behavior != upstream_behavior::denied; }
    void report_load(std::string_view /*header*/) override {}
    void finish(const attempt_result& it) override {
        simulation_.log(upstream_ + " finish " + std::string{to_string(it.verdict)});
    }

    upstream_behavior behavior;

private:
    order_simulation& simulation_;
    std::string upstream_;
    std::string address_;
};

class fake_router final : public attempt_router {
public:
    fake_router(order_simulation& simulation, const simulated_node& node)
        : simulation_(simulation), node_(node) {}

    void route(attempt_request it, target_callback found, refusal_callback refused) override {
        simulation_.post(node_, [this, tried = it.excluded.size(), found = std::move(found),
                                 refused = std::move(refused)] {
            if (simulation_.is_random && simulation_.random.below(8) == 0) {
                refused({.status = 503, .reason = "queue is full", .is_retry_useful = false});
                return;
            }
            auto target = std::make_unique<fake_target>(simulation_, "u" + std::to_string(tried + 1));
            behaviors_[target->upstream()] = target->behavior;
            found(std::move(target));
        });
    }

    std::map<std::string, upstream_behavior> behaviors_;

private:
    order_simulation& simulation_;
    const simulated_node& node_;
};

class fake_call final : public upstream_call {
public:
    void resume() override { resumed = true; }
    void cancel() override {}

    bool resumed{false};
};

class fake_client final : public upstream_client {
public:
    fake_client(order_simulation& simulation, const simulated_node& node, fake_router& router)
        : simulation_(simulation), node_(node), router_(router) {}

    std::shared_ptr<upstream_call> start(upstream_request request,
                                         std::shared_ptr<upstream_observer> observer) override {
        const auto behavior = router_.behaviors_[request.upstream];
        simulation_.log(node_.name + " attempt at " + request.upstream + " (" +
                        behavior_names[static_cast<std::size_t>(behavior)] + ")");
        simulation_.post(node_, [this, behavior, request = std::move(request), observer] {
            connect(behavior, request, observer);
        });
        return std::make_shared<fake_call>();
    }

private:
    using shared_observer = std::shared_ptr<upstream_observer>;

    void connect(upstream_behavior behavior, const upstream_request& request,
                 const shared_observer& observer) {
        if (behavior == upstream_behavior::unreachable) {
            observer->on_done({.end = attempt_end::connect_failed, .verdict = run_verdict::not_run});
        } else if (behavior == upstream_behavior::cancelled) {
            observer->on_done({.end = attempt_end::cancelled, .verdict = run_verdict::not_run});
        } else if (!observer->may_send({})) {
            observer->on_done({.end = attempt_end::denied, .verdict = run_verdict::not_run});
        } else {
            // Sent bytes arrive even if the node stops now.
            simulation_.post(*simulation_.nodes.front(), [this, behavior, request, observer] {
                if (behavior != upstream_behavior::shed && behavior != upstream_behavior::shed_no_retry &&
                    behavior != upstream_behavior::reset_before) {
                    simulation_.record_execution(request.request_id);
                }
                simulation_.post(node_, [this, behavior, observer] { respond(behavior, *observer); });
            });
        }
    }

    void respond(upstream_behavior behavior, upstream_observer& observer) {
        switch (behavior) {
        case upstream_behavior::shed:
            observer.on_done({.end = attempt_end::shed, .verdict = run_verdict::not_run, .status = 503});
            return;
        case upstream_behavior::shed_no_retry:
            observer.on_done({.end = attempt_end::shed,
                              .verdict = run_verdict::not_run,
                              .status = 503,
                              .shed_head = {.status = 503, .headers = {{"Berylcrank-Retry", "no"}}}});
            return;
        case upstream_behavior::sent_twice:
            REQUIRE_FALSE(observer.may_send({}));
            observer.on_done({.end = attempt_end::shed, .verdict = run_verdict::not_run});
            return;
        case upstream_behavior::misreported:
            observer.on_done({.end = attempt_end::reset, .verdict = run_verdict::not_run});
            return;
        case upstream_behavior::good:
        case upstream_behavior::truncated:
            break;
        default:
            observer.on_done({.end = attempt_end::reset, .verdict = run_verdict::may_have_run});
            return;
        }
        observer.on_head({.status = 200, .headers = {{"Berylcrank-Load", "in_flight=1"}, {"X-Answer", "1"}}},
                         simulation_.response_bytes);
        const std::string part(simulation_.response_bytes / 2, 'b');
        observer.on_body(part);
        if (behavior == upstream_behavior::truncated) {
            observer.on_done(
                {.end = attempt_end::truncated, .verdict = run_verdict::may_have_run, .status = 200});
            return;
        }
        if (!observer.on_body(part)) {
            observer.on_done(
                {.end = attempt_end::stalled, .verdict = run_verdict::may_have_run, .status = 200});
            return;
        }
        observer.on_done({.end = attempt_end::complete, .verdict = run_verdict::ran, .status = 200});
    }

    order_simulation& simulation_;
    const simulated_node& node_;
    fake_router& router_;
};

class fake_peers final : public peer_client {
public:
    fake_peers(order_simulation& simulation, const simulated_node& node)
        : simulation_(simulation), node_(node) {}

    void relay_order(const std::string& address, order_request it, millis /*timeout*/,
                     response_callback<order_response> done) override {
        const auto behavior = simulation_.next_relay_behavior();
        simulation_.log(node_.name + " relay to " + address);
        auto* home = simulation_.at_address(address);
        if (home == nullptr) {
            simulation_.post(node_, [done] { done(peer_failure::refused, {}); });
            return;
        }
        if (behavior != relay_behavior::good && behavior != relay_behavior::duplicated) {
            simulation_.post(node_, [done] { done(peer_failure::no_response, {}); });
        }
        for (int n = behavior == relay_behavior::lost         ? 2
                     : behavior == relay_behavior::duplicated ? 0
                                                              : 1;
             n < 2; ++n) {
            const bool responds = n == 1 && behavior != relay_behavior::response_lost;
            simulation_.post(*home, [this, home, it, responds, done] {
                home->flow->handle_relayed(it, [this, responds, done](const order_response& response) {
                    if (responds) {
                        simulation_.post(node_, [done, response] { done(peer_failure::none, response); });
                    }
                });
            });
        }
    }
    void gossip(const std::string&, gossip_message, millis, response_callback<gossip_message>) override {}
    void pull_state(const std::string&, std::uint64_t, millis, response_callback<std::string>) override {}
    void acquire_permit(const std::string&, incarnation, std::string, request_class, millis,
                        response_callback<permit_response>) override {}
    void release_permit(const std::string&, permit_release, millis, response_callback<bool>) override {}
    void report_crash(const std::string&, std::vector<crash_report>, millis,
                      response_callback<bool>) override {}

private:
    order_simulation& simulation_;
    const simulated_node& node_;
};

} // namespace

void fake_exchange::respond(http_response it) {
    REQUIRE_FALSE(response.has_value());
    CHECK(count_headers(it.head.headers, "Berylcrank-Verdict") == 1);
    CHECK(find_header(it.head.headers, "Berylcrank-Id-Prefix").value_or("").size() > 16);
    response = std::move(it);
    const auto id = find_header(request_.headers, "Idempotency-Key").value_or("no id");
    simulation_.log("caller of " + std::string{id} + " gets " + std::to_string(response->head.status) + " " +
                    verdict() + " " + response->body.substr(0, response->body.find('\n')));
    simulation_.record_verdict(std::string{id}, verdict());
}

std::shared_ptr<body_buffer> fake_exchange::start_response(http_response_head head,
                                                           std::optional<std::uint64_t> /*bytes*/) {
    stream = std::make_shared<body_buffer>(body_buffer::options{});
    response = http_response{.head = std::move(head)};
    simulation_.log("caller gets a stream, " + verdict());
    return stream;
}

std::string fake_exchange::verdict() const {
    return response
               ? std::string{find_header(response->head.headers, "Berylcrank-Verdict").value_or("missing")}
               : "none";
}

simulated_node::simulated_node(order_simulation& simulation, std::string node_name, incarnation self)
    : name(std::move(node_name)), minter({.self = self, .secret = 1}), table(simulation.options_.table) {
    auto new_router = std::make_unique<fake_router>(simulation, *this);
    client = std::make_unique<fake_client>(simulation, *this, *new_router);
    router = std::move(new_router);
    peers = std::make_unique<fake_peers>(simulation, *this);
    flow = std::make_unique<order_flow>(
        order_flow::options{.limits = simulation.options_.limits},
        order_dependencies{
            .time = simulation.time, .minter = minter, .table = table, .router = *router, .client = *client},
        *peers, simulation);
}

order_simulation::order_simulation(const options& it) : options_(it), random(it.seed) {
    for (unsigned n = 0; n < it.nodes; ++n) {
        nodes.push_back(std::make_unique<simulated_node>(*this, "n" + std::to_string(n),
                                                         incarnation{next_incarnation_++}));
    }
}

std::shared_ptr<fake_exchange> order_simulation::send(std::size_t node, const std::string& id,
                                                      const std::string& body, millis timeout) {
    auto it = std::make_shared<fake_exchange>(
        *this,
        http_request{.method = "POST",
                     .path = "/s/pedidos/x",
                     .headers = {{"Idempotency-Key", id}, {"Connection", "close, X-Hop"}, {"X-Hop", "1"}},
                     .body = body});
    log("caller sends " + id + " to " + nodes[node]->name);
    nodes[node]->flow->handle(it, {.service = "pedidos", .path = it->request().path, .timeout = timeout});
    return it;
}

std::string order_simulation::mint(std::size_t node, int number) {
    return nodes[node]->minter.mint_prefix(time.now()) + "." + std::to_string(number);
}

void order_simulation::restart(std::size_t node) {
    log(nodes[node]->name + " restarts");
    auto fresh = std::make_unique<simulated_node>(*this, nodes[node]->name, incarnation{next_incarnation_++});
    nodes[node]->is_up = false;
    stopped_nodes.push_back(std::exchange(nodes[node], std::move(fresh)));
}

void order_simulation::advance(millis it) {
    time.advance(it);
    for (const auto& node : nodes) {
        node->flow->tick();
    }
}

void order_simulation::post(const simulated_node& at, std::function<void()> it) {
    steps_.push_back({.at = &at, .run = std::move(it)});
}

void order_simulation::run(step it) {
    // A stopped node runs no further steps.
    if (it.at->is_up) {
        it.run();
    }
}

void order_simulation::run_all() {
    while (!steps_.empty()) {
        auto it = std::move(steps_.front());
        steps_.pop_front();
        run(std::move(it));
    }
}

void order_simulation::run_random_step() {
    std::swap(steps_.front(), steps_[random.below(steps_.size())]);
    auto it = std::move(steps_.front());
    steps_.pop_front();
    run(std::move(it));
}

void order_simulation::record_execution(const std::string& id) {
    log("upstream runs " + id);
    REQUIRE(++executions[id] == 1);
    REQUIRE_FALSE(reported_not_run[id]);
}

void order_simulation::record_verdict(const std::string& id, const std::string& verdict) {
    if (verdict == "not-run") {
        reported_not_run[id] = true;
        REQUIRE(executions[id] == 0);
    } else if (verdict == "ran") {
        REQUIRE(executions[id] == 1);
    }
}

upstream_behavior order_simulation::next_behavior() {
    if (is_random) {
        return static_cast<upstream_behavior>(
            random.below(static_cast<std::uint64_t>(upstream_behavior::count_of_behaviors)));
    }
    const auto it = behaviors.empty() ? upstream_behavior::good : behaviors.front();
    if (!behaviors.empty()) {
        behaviors.pop_front();
    }
    return it;
}

relay_behavior order_simulation::next_relay_behavior() {
    if (is_random) {
        return static_cast<relay_behavior>(
            random.below(static_cast<std::uint64_t>(relay_behavior::count_of_behaviors)));
    }
    const auto it = relay_behaviors.empty() ? relay_behavior::good : relay_behaviors.front();
    if (!relay_behaviors.empty()) {
        relay_behaviors.pop_front();
    }
    return it;
}

std::optional<std::string> order_simulation::find(incarnation it) const {
    for (const auto& runs : {&nodes, &stopped_nodes}) {
        for (const auto& node : *runs) {
            if (node->minter.self() == it) {
                return "rpc-" + to_hex(it).substr(14);
            }
        }
    }
    return std::nullopt;
}

simulated_node* order_simulation::at_address(const std::string& address) {
    for (const auto& node : nodes) {
        if (find(node->minter.self()) == address) {
            return node.get();
        }
    }
    return nullptr;
}

} // namespace berylcrank::testing
