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

/** Behavior of an upstream for one attempt. */
enum class upstream_behavior : std::uint8_t {
    good,
    unreachable,   ///< The connection is refused.
    denied,        ///< The target's `may_send` returns false.
    cancelled,     ///< The client shuts down before it sends.
    shed,          ///< Responds explicitly that the order did not run.
    shed_no_retry, ///< The same with `Berylcrank-Retry: no`.
    reset_after,   ///< Runs the order, then resets the connection.
    reset_before,  ///< Resets the connection after receipt, without running the order.
    truncated,     ///< Runs the order and sends part of the response.
    sent_twice,    ///< The HTTP library is about to send the order again.
    misreported,   ///< Runs the order, but the client wrongly reports that it did not run.
    count_of_behaviors,
};

/** Behavior of the connection for one relayed order. */
enum class relay_behavior : std::uint8_t { good, lost, response_lost, duplicated, count_of_behaviors };

class order_simulation;

/** A caller's request and its response. */
class fake_exchange final : public http_exchange {
public:
    fake_exchange(order_simulation& simulation, http_request it)
        : simulation_(simulation), request_(std::move(it)) {}

    [[nodiscard]] const http_request& request() const override { return request_; }
    void respond(http_response it) override;
    std::shared_ptr<body_buffer> start_response(http_response_head head,
                                                std::optional<std::uint64_t> bytes) override;
    void abort() override {}
    void set_on_disconnect(std::function<void()> it) override { on_disconnect = std::move(it); }

    /** The verdict header, or "none" while there is no response. */
    [[nodiscard]] std::string verdict() const;

    std::optional<http_response> response;
    std::shared_ptr<body_buffer> stream;
    std::function<void()> on_disconnect;

private:
    order_simulation& simulation_;
    http_request request_;
};

/** One incarnation of a node. */
struct simulated_node {
    simulated_node(order_simulation& simulation, std::string name, incarnation self);

    std::string name;
    bool is_up{true};
    id_minter minter;
    order_table table;
    std::unique_ptr<attempt_router> router;
    std::unique_ptr<upstream_client> client;
    std::unique_ptr<peer_client> peers;
    std::unique_ptr<order_flow> flow;
};

/** Simulates nodes, upstreams and callers without threads or I/O. Every later action is a step. Steps run
    in the order of posting or in random order. Each response is checked against what really ran. */
class order_simulation final : public home_resolver {
public:
    struct options {
        std::uint64_t seed{1};
        unsigned nodes{2};
        order_table::options table{
            .shards = 1, .max_entries = 100, .recordable_bytes = 64, .lifetime = millis{10000}};
        order_limits limits{.recordable_bytes = 64};
    };

    explicit order_simulation(const options& it);

    /** Sends a copy of an order to a node; the response is checked when it arrives. */
    std::shared_ptr<fake_exchange> send(std::size_t node, const std::string& id,
                                        const std::string& body = "x", millis timeout = millis{1000});
    /** Mints an id whose home is the node. */
    std::string mint(std::size_t node, int number = 1);
    /** Stops a node and starts a new incarnation of it. */
    void restart(std::size_t node);
    void advance(millis it);

    void post(const simulated_node& at, std::function<void()> step);
    void run_all();
    void run_random_step();
    [[nodiscard]] bool has_steps() const { return !steps_.empty(); }

    void log(const std::string& line) { events.push_back(line); }
    void record_execution(const std::string& id);
    void record_verdict(const std::string& id, const std::string& verdict);
    upstream_behavior next_behavior();
    relay_behavior next_relay_behavior();
    [[nodiscard]] std::optional<std::string> find(incarnation it) const override;
    simulated_node* at_address(const std::string& address);

    options options_;
    manual_clock time;
    seeded_random random;
    std::vector<std::unique_ptr<simulated_node>> nodes;
    std::vector<std::unique_ptr<simulated_node>> stopped_nodes;
    std::deque<upstream_behavior> behaviors;    ///< For the next attempts; `good` when empty.
    std::deque<relay_behavior> relay_behaviors; ///< For the next relays; `good` when empty.
    bool is_random{false};                      ///< Draws random behaviors instead.
    std::size_t response_bytes{2};
    std::map<std::string, int> executions;
    std::map<std::string, bool> reported_not_run;
    std::vector<std::string> events;

private:
    struct step {
        const simulated_node* at;
        std::function<void()> run;
    };

    void run(step it);

    std::deque<step> steps_;
    std::uint64_t next_incarnation_{0xa0};
};

} // namespace berylcrank::testing
