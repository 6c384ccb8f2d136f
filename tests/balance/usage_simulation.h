#pragma once

#include "modules/berylcrank_balance/usage/usage_caps.h"
#include "modules/berylcrank_core/random/random_source.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

namespace berylcrank {

/** Faults of a simulated deployment. */
struct usage_faults {
    double loss{0};            ///< Share of messages that are lost.
    double duplicates{0};      ///< Share of messages that arrive twice, the second time up to 600 ms later.
    millis max_delay{3};       ///< Of a message.
    bool unequal_views{false}; ///< Each node knows most, but not all, of the others.
};

/** Nodes that enforce the usage cap of one account, in simulated time without a network.

    Requests that get a token run at once or, as late as the token allows, within its lifetime. */
class usage_simulation {
public:
    struct options {
        int nodes{13};
        usage_limits limits;
        usage_tolerance tolerance;
        usage_faults faults;
        std::uint64_t seed{1};
    };

    explicit usage_simulation(const options& opts);

    /** Sends a request of the account to a node now. */
    void request(int node);

    /** Advances the time in steps of 10 ms. `load` runs in each step. */
    void run(millis duration, const std::function<void(usage_simulation&)>& load);

    /** Ends a node without a notice; `restart` starts it again. */
    void kill(int node);
    void restart(int node);
    /** Suspends a node for some time, in which messages to it are kept. */
    void pause(int node, millis duration);
    /** Separates nodes from all others but those with the same group; group 0 is the majority. */
    void set_partition(int node, int group) { at(node).partition = group; }
    /** Replaces the limits that all nodes send. */
    void set_limits(const usage_limits& limits);

    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] random_source& random() { return random_; }
    [[nodiscard]] int node_count() const { return options_.nodes; }
    [[nodiscard]] int runs() const { return static_cast<int>(runs_.size()); }
    [[nodiscard]] int refusals() const { return refusals_; }
    [[nodiscard]] std::uint64_t messages() const { return messages_; }

    /** Returns the largest share of the caps that all holders together had at any time. */
    [[nodiscard]] double most_lent() const { return most_lent_; }

    /** Returns the number of runs in the window with most of them, as a share of what `limits` allow. Windows
        begin at `from` or later. */
    [[nodiscard]] double worst_window(const usage_limits& limits, instant from = {}) const;

private:
    struct node_model final : public usage_transport {
        usage_simulation* owner{nullptr};
        std::uint64_t number{0};
        std::unique_ptr<usage_caps> caps;
        std::uint64_t run{0};
        int partition{0};
        instant paused_until;
        instant lag; // the node's clock shows this much less
        std::vector<std::uint64_t> candidates;
        std::vector<usage_message> kept;

        void send(std::uint64_t to, const usage_message& it) override { owner->send(*this, to, it); }
    };

    struct delivery {
        instant at;
        std::uint64_t order;
        std::uint64_t from_number;
        std::uint64_t to;
        usage_message message;
        bool operator<(const delivery& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    node_model& at(int node) { return *nodes_[static_cast<std::size_t>(node)]; }
    void start(node_model& it);
    void send(const node_model& from, std::uint64_t to, const usage_message& it);
    void deliver();
    void add_up_shares();
    [[nodiscard]] millis delay();

    options options_;
    seeded_random random_;
    usage_limits limits_;
    std::uint64_t version_{1};
    instant now_;
    std::vector<std::unique_ptr<node_model>> nodes_;
    std::map<std::uint64_t, node_model*> by_number_;
    std::priority_queue<delivery> deliveries_;
    std::uint64_t order_{0};
    std::vector<instant> runs_;
    int refusals_{0};
    std::uint64_t messages_{0};
    std::uint64_t next_run_{1};
    double most_lent_{0};
};

} // namespace berylcrank
