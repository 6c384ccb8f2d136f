#pragma once

#include "modules/berylcrank_core/berylcrank_core.h"
#include "modules/berylcrank_node/request/order_flow.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace berylcrank::testing {

/** How an upstream treats one attempt. */
enum class upstream_mood : std::uint8_t {
    good,
    unreachable,   ///< The connection is refused.
    denied,        ///< The target's own check says no.
    cancelled,     ///< The client ends before it sends.
    shed,          ///< Explicit not-run answer.
    shed_no_retry, ///< The same with `Berylcrank-Retry: no`.
    reset_after,   ///< Runs the order, then resets the connection.
    reset_before,  ///< Resets the connection after receipt, without running the order.
    truncated,     ///< Runs the order, answers a part.
    sent_twice,    ///< The HTTP library is about to send the order again.
    misjudged,     ///< Runs the order; the client wrongly reports that it did not run.
    count_of_moods,
};

/** How the next relay travels. */
enum class relay_mood : std::uint8_t { good, lost, answer_lost, duplicated, count_of_moods };

class order_world;

/** A caller's request and what came back. */
class fake_exchange final : public http_exchange {
public:
    fake_exchange(order_world& world, http_request it) : world_(world), request_(std::move(it)) {}

    [[nodiscard]] const http_request& request() const override { return request_; }
    void respond(http_response it) override;
    std::shared_ptr<body_buffer> start_response(http_response_head head,
                                                std::optional<std::uint64_t> bytes) override;
    void abort() override {}
    void set_on_disconnect(std::function<void()> it) override { on_gone = std::move(it); }

    /** The verdict header, or "none" while there is no answer. */
    [[nodiscard]] std::string verdict() const;

    std::optional<http_response> answered;
    std::shared_ptr<body_buffer> stream;
    std::function<void()> on_gone;

private:
    order_world& world_;
    http_request request_;
};

/** One run of a node. */
struct world_node {
    world_node(order_world& world, std::string name, incarnation self);

    std::string name;
    bool is_up{true};
    id_minter minter;
    order_table table;
    std::unique_ptr<attempt_router> router;
    std::unique_ptr<upstream_client> client;
    std::unique_ptr<peer_client> peers;
    std::unique_ptr<order_flow> flow;
};

/** Nodes, upstreams and callers without threads or I/O: everything that happens later is a step, and steps
    happen in the order of posting or in a random one. Each answer is checked against what really ran. */
class order_world final : public home_directory {
public:
    struct options {
        std::uint64_t seed{1};
        unsigned nodes{2};
        order_table::options table{
            .shards = 1, .max_entries = 100, .recordable_bytes = 64, .lifetime = millis{10000}};
        order_limits limits{.recordable_bytes = 64};
    };

    explicit order_world(const options& it);

    /** Sends a copy of an order to a node; the answer is checked when it comes. */
    std::shared_ptr<fake_exchange> send(std::size_t node, const std::string& id,
                                        const std::string& body = "x", millis timeout = millis{1000});
    /** An id homed at a node. */
    std::string mint(std::size_t node, int number = 1);
    /** Ends a node and starts a new run of it. */
    void restart(std::size_t node);
    void advance(millis it);

    void post(const world_node& at, std::function<void()> step);
    void run_all();
    void run_random_step();
    [[nodiscard]] bool has_steps() const { return !steps_.empty(); }

    void log(const std::string& line) { events.push_back(line); }
    void executed(const std::string& id);
    void told(const std::string& id, const std::string& verdict);
    upstream_mood next_mood();
    relay_mood next_relay();
    [[nodiscard]] std::optional<std::string> find(incarnation it) const override;
    world_node* at_address(const std::string& address);

    options options_;
    manual_clock time;
    seeded_random random;
    std::vector<std::unique_ptr<world_node>> nodes;
    std::vector<std::unique_ptr<world_node>> ended;
    std::deque<upstream_mood> moods; ///< Of the next attempts; `good` when empty.
    std::deque<relay_mood> relays;   ///< Of the next relays; `good` when empty.
    bool is_random{false};           ///< Moods are drawn instead.
    std::size_t answer_bytes{2};
    std::map<std::string, int> executions;
    std::map<std::string, bool> told_not_run;
    std::vector<std::string> events;

private:
    struct step {
        const world_node* at;
        std::function<void()> run;
    };

    void run(step it);

    std::deque<step> steps_;
    std::uint64_t next_incarnation_{0xa0};
};

} // namespace berylcrank::testing
