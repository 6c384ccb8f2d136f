#include "tests/node/order_world.h"

#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

constexpr std::array mood_names{"good",      "unreachable",    "denied",      "cancelled",
                                "shed",      "shed, no retry", "reset after", "reset before",
                                "truncated", "sent twice",     "misjudged"};

class fake_target final : public attempt_target {
public:
    fake_target(order_world& world, std::string upstream)
        : mood(world.next_mood()), world_(world), upstream_(std::move(upstream)),
          address_(upstream_ + ":80") {}

    [[nodiscard]] const std::string& upstream() const override { return upstream_; }
    [[nodiscard]] const std::string& address() const override { return address_; }
    bool may_send(const connection_info& /*it*/) override { return mood != upstream_mood::denied; }
    void report_load(std::string_view /*header*/) override {}
    void finish(const attempt_result& it) override {
        world_.log(upstream_ + " finish " + std::string{to_string(it.verdict)});
    }

    upstream_mood mood;

private:
    order_world& world_;
    std::string upstream_;
    std::string address_;
};

class fake_router final : public attempt_router {
public:
    fake_router(order_world& world, const world_node& node) : world_(world), node_(node) {}

    void route(attempt_request it, on_target found, on_refusal refused) override {
        world_.post(node_, [this, tried = it.excluded.size(), found = std::move(found),
                            refused = std::move(refused)] {
            if (world_.is_random && world_.random.below(8) == 0) {
                refused({.status = 503, .reason = "queue is full", .is_retry_useful = false});
                return;
            }
            auto target = std::make_unique<fake_target>(world_, "u" + std::to_string(tried + 1));
            moods_[target->upstream()] = target->mood;
            found(std::move(target));
        });
    }

    std::map<std::string, upstream_mood> moods_;

private:
    order_world& world_;
    const world_node& node_;
};

class fake_call final : public upstream_call {
public:
    void resume() override { resumed = true; }
    void cancel() override {}

    bool resumed{false};
};

class fake_client final : public upstream_client {
public:
    fake_client(order_world& world, const world_node& node, fake_router& router)
        : world_(world), node_(node), router_(router) {}

    std::shared_ptr<upstream_call> start(upstream_request request,
                                         std::shared_ptr<upstream_observer> observer) override {
        const auto mood = router_.moods_[request.upstream];
        world_.log(node_.name + " attempt at " + request.upstream + " (" +
                   mood_names[static_cast<std::size_t>(mood)] + ")");
        world_.post(node_, [this, mood, request = std::move(request), observer] {
            connect(mood, request, observer);
        });
        return std::make_shared<fake_call>();
    }

private:
    using shared_observer = std::shared_ptr<upstream_observer>;

    void connect(upstream_mood mood, const upstream_request& request, const shared_observer& observer) {
        if (mood == upstream_mood::unreachable) {
            observer->on_done({.end = attempt_end::connect_failed, .verdict = run_verdict::not_run});
        } else if (mood == upstream_mood::cancelled) {
            observer->on_done({.end = attempt_end::cancelled, .verdict = run_verdict::not_run});
        } else if (!observer->may_send({})) {
            observer->on_done({.end = attempt_end::denied, .verdict = run_verdict::not_run});
        } else {
            // Sent bytes arrive even if the node ends now.
            world_.post(*world_.nodes.front(), [this, mood, request, observer] {
                if (mood != upstream_mood::shed && mood != upstream_mood::shed_no_retry &&
                    mood != upstream_mood::reset_before) {
                    world_.executed(request.request_id);
                }
                world_.post(node_, [this, mood, observer] { answer(mood, *observer); });
            });
        }
    }

    void answer(upstream_mood mood, upstream_observer& observer) {
        switch (mood) {
        case upstream_mood::shed:
            observer.on_done({.end = attempt_end::shed, .verdict = run_verdict::not_run, .status = 503});
            return;
        case upstream_mood::shed_no_retry:
            observer.on_done({.end = attempt_end::shed,
                              .verdict = run_verdict::not_run,
                              .status = 503,
                              .shed_head = {.status = 503, .headers = {{"Berylcrank-Retry", "no"}}}});
            return;
        case upstream_mood::sent_twice:
            REQUIRE_FALSE(observer.may_send({}));
            observer.on_done({.end = attempt_end::shed, .verdict = run_verdict::not_run});
            return;
        case upstream_mood::misjudged:
            observer.on_done({.end = attempt_end::reset, .verdict = run_verdict::not_run});
            return;
        case upstream_mood::good:
        case upstream_mood::truncated:
            break;
        default:
            observer.on_done({.end = attempt_end::reset, .verdict = run_verdict::may_have_run});
            return;
        }
        observer.on_head({.status = 200, .headers = {{"Berylcrank-Load", "in_flight=1"}, {"X-Answer", "1"}}},
                         world_.answer_bytes);
        const std::string part(world_.answer_bytes / 2, 'b');
        observer.on_body(part);
        if (mood == upstream_mood::truncated) {
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

    order_world& world_;
    const world_node& node_;
    fake_router& router_;
};

class fake_peers final : public peer_client {
public:
    fake_peers(order_world& world, const world_node& node) : world_(world), node_(node) {}

    void relay_order(const std::string& address, order_request it, millis /*timeout*/,
                     response_callback<order_response> done) override {
        const auto mood = world_.next_relay();
        world_.log(node_.name + " relay to " + address);
        auto* home = world_.at_address(address);
        if (home == nullptr) {
            world_.post(node_, [done] { done(peer_failure::refused, {}); });
            return;
        }
        if (mood != relay_mood::good && mood != relay_mood::duplicated) {
            world_.post(node_, [done] { done(peer_failure::no_response, {}); });
        }
        for (int n = mood == relay_mood::lost ? 2 : mood == relay_mood::duplicated ? 0 : 1; n < 2; ++n) {
            const bool is_answered = n == 1 && mood != relay_mood::answer_lost;
            world_.post(*home, [this, home, it, is_answered, done] {
                home->flow->handle_relayed(it, [this, is_answered, done](const order_response& answer) {
                    if (is_answered) {
                        world_.post(node_, [done, answer] { done(peer_failure::none, answer); });
                    }
                });
            });
        }
    }
    void gossip(const std::string&, gossip_message, millis, response_callback<gossip_message>) override {}
    void pull_state(const std::string&, std::uint64_t, millis, response_callback<std::string>) override {}
    void acquire_permit(const std::string&, incarnation, std::string, request_class, millis,
                        response_callback<permit_answer>) override {}
    void release_permit(const std::string&, permit_release, millis, response_callback<bool>) override {}
    void report_crash(const std::string&, std::vector<crash_report>, millis,
                      response_callback<bool>) override {}

private:
    order_world& world_;
    const world_node& node_;
};

} // namespace

void fake_exchange::respond(http_response it) {
    REQUIRE_FALSE(answered.has_value());
    CHECK(count_headers(it.head.headers, "Berylcrank-Verdict") == 1);
    CHECK(find_header(it.head.headers, "Berylcrank-Id-Prefix").value_or("").size() > 16);
    answered = std::move(it);
    const auto id = find_header(request_.headers, "Idempotency-Key").value_or("no id");
    world_.log("caller of " + std::string{id} + " gets " + std::to_string(answered->head.status) + " " +
               verdict() + " " + answered->body.substr(0, answered->body.find('\n')));
    world_.told(std::string{id}, verdict());
}

std::shared_ptr<body_buffer> fake_exchange::start_response(http_response_head head,
                                                           std::optional<std::uint64_t> /*bytes*/) {
    stream = std::make_shared<body_buffer>(body_buffer::options{});
    answered = http_response{.head = std::move(head)};
    world_.log("caller gets a stream, " + verdict());
    return stream;
}

std::string fake_exchange::verdict() const {
    return answered
               ? std::string{find_header(answered->head.headers, "Berylcrank-Verdict").value_or("missing")}
               : "none";
}

world_node::world_node(order_world& world, std::string node_name, incarnation self)
    : name(std::move(node_name)), minter({.self = self, .secret = 1}), table(world.options_.table) {
    auto routes = std::make_unique<fake_router>(world, *this);
    client = std::make_unique<fake_client>(world, *this, *routes);
    router = std::move(routes);
    peers = std::make_unique<fake_peers>(world, *this);
    flow = std::make_unique<order_flow>(
        order_flow::options{.limits = world.options_.limits},
        order_parts{
            .time = world.time, .minter = minter, .table = table, .router = *router, .client = *client},
        *peers, world);
}

order_world::order_world(const options& it) : options_(it), random(it.seed) {
    for (unsigned n = 0; n < it.nodes; ++n) {
        nodes.push_back(
            std::make_unique<world_node>(*this, "n" + std::to_string(n), incarnation{next_incarnation_++}));
    }
}

std::shared_ptr<fake_exchange> order_world::send(std::size_t node, const std::string& id,
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

std::string order_world::mint(std::size_t node, int number) {
    return nodes[node]->minter.mint_prefix(time.now()) + "." + std::to_string(number);
}

void order_world::restart(std::size_t node) {
    log(nodes[node]->name + " restarts");
    auto fresh = std::make_unique<world_node>(*this, nodes[node]->name, incarnation{next_incarnation_++});
    nodes[node]->is_up = false;
    ended.push_back(std::exchange(nodes[node], std::move(fresh)));
}

void order_world::advance(millis it) {
    time.advance(it);
    for (const auto& node : nodes) {
        node->flow->tick();
    }
}

void order_world::post(const world_node& at, std::function<void()> it) {
    steps_.push_back({.at = &at, .run = std::move(it)});
}

void order_world::run(step it) {
    // Nothing happens any more in a run that has ended.
    if (it.at->is_up) {
        it.run();
    }
}

void order_world::run_all() {
    while (!steps_.empty()) {
        auto it = std::move(steps_.front());
        steps_.pop_front();
        run(std::move(it));
    }
}

void order_world::run_random_step() {
    std::swap(steps_.front(), steps_[random.below(steps_.size())]);
    auto it = std::move(steps_.front());
    steps_.pop_front();
    run(std::move(it));
}

void order_world::executed(const std::string& id) {
    log("upstream runs " + id);
    REQUIRE(++executions[id] == 1);
    REQUIRE_FALSE(told_not_run[id]);
}

void order_world::told(const std::string& id, const std::string& verdict) {
    if (verdict == "not-run") {
        told_not_run[id] = true;
        REQUIRE(executions[id] == 0);
    } else if (verdict == "ran") {
        REQUIRE(executions[id] == 1);
    }
}

upstream_mood order_world::next_mood() {
    if (is_random) {
        return static_cast<upstream_mood>(
            random.below(static_cast<std::uint64_t>(upstream_mood::count_of_moods)));
    }
    const auto it = moods.empty() ? upstream_mood::good : moods.front();
    if (!moods.empty()) {
        moods.pop_front();
    }
    return it;
}

relay_mood order_world::next_relay() {
    if (is_random) {
        return static_cast<relay_mood>(random.below(static_cast<std::uint64_t>(relay_mood::count_of_moods)));
    }
    const auto it = relays.empty() ? relay_mood::good : relays.front();
    if (!relays.empty()) {
        relays.pop_front();
    }
    return it;
}

std::optional<std::string> order_world::find(incarnation it) const {
    for (const auto& runs : {&nodes, &ended}) {
        for (const auto& node : *runs) {
            if (node->minter.self() == it) {
                return "rpc-" + to_hex(it).substr(14);
            }
        }
    }
    return std::nullopt;
}

world_node* order_world::at_address(const std::string& address) {
    for (const auto& node : nodes) {
        if (find(node->minter.self()) == address) {
            return node.get();
        }
    }
    return nullptr;
}

} // namespace berylcrank::testing
