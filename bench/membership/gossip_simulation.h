#pragma once

#include "modules/berylcrank_membership/view/peer_view.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylcrank::bench {

/** Simulates nodes whose peer views exchange gossip. The clock is virtual. Messages are encoded and
    decoded by the codec of the program. */
class gossip_simulation {
public:
    /** Mean costs over the measured rounds. @see measure */
    struct cost {
        double message_bytes{0};   ///< Mean encoded size of a message.
        double messages_per_s{0};  ///< Calls and responses that a node sends per second.
        double cpu_percent{0};     ///< Per node, of one core: decisions and codec, without sockets.
        double silent_fraction{0}; ///< Mean fraction of nodes that a view counts as silent at the end.
    };

    /** @param loss Fraction of calls that are lost, in [0, 1]. */
    gossip_simulation(std::size_t nodes, double loss, std::uint64_t seed);

    /** Advances the clock by `interval`. Then each running node exchanges messages with the targets that its
        view chooses. */
    void run_round();

    /** Measures the cost over `rounds` rounds. */
    cost measure(int rounds);

    /** Stops a node.
        @param refuses_connections If true, its port refuses connections; if false, calls to it time out. */
    void stop_node(std::size_t node, bool refuses_connections);

    /** Starts a node on a new vm that the VM list does not contain yet. The new node knows the others. */
    void start_unlisted_node();

    /** Fraction of the other live nodes that see `node` in one of `states`. Live nodes that do not
        know `node` count as not seeing it. */
    [[nodiscard]] double fraction_in_state(std::size_t node, std::initializer_list<peer_state> states) const;

    static constexpr millis interval{300}; ///< Time between rounds.

private:
    struct simulated_node {
        peer_info info;
        std::unique_ptr<peer_view> view;
        bool is_up{true};
        bool refuses_connections{false};
    };

    void add_node();
    void exchange_messages(simulated_node& sender, const gossip_target& target);
    gossip_message encode_and_decode(const gossip_message& message);

    seeded_random random_;
    double loss_;
    instant now_{millis{60000}};
    std::vector<simulated_node> nodes_;
    std::unordered_map<std::string, std::size_t> index_by_rpc_address_;
    std::vector<vm_seed> vm_list_;
    std::uint64_t bytes_{0};
    std::uint64_t messages_{0};
};

} // namespace berylcrank::bench
