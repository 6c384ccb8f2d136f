#pragma once

#include "modules/berylcrank_membership/view/peer_view.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylcrank::bench {

/** Many peer views that gossip under a virtual clock, with real encoding of the messages. */
class gossip_simulation {
public:
    struct cost {
        double message_bytes{0};  ///< Mean encoded size of a message.
        double messages_per_s{0}; ///< Messages that a node sends, calls and replies.
        double cpu_percent{0};    ///< Of one core for one node: decisions and codec, without sockets.
        double silent_share{0};   ///< Live members that a view counts as silent, mean.
    };

    gossip_simulation(std::size_t nodes, double loss, std::uint64_t seed);

    /** One round of all nodes; the clock moves by the interval. */
    void round();

    /** Cost over `rounds` rounds. */
    cost measure(int rounds);

    /** Ends a node: its vm does not answer any more, or its port refuses. */
    void kill(std::size_t node, bool refuses);

    /** Starts a node on a new vm that the VM list does not show yet; it knows the others. */
    void join();

    /** Share of the live nodes that hold `node` in one of the states; nodes that do not know it do not. */
    [[nodiscard]] double share_with(std::size_t node, std::initializer_list<peer_state> states) const;

    static constexpr millis interval{300};

private:
    struct member {
        peer_info info;
        std::unique_ptr<peer_view> view;
        bool is_up{true};
        bool refuses{false};
    };

    void add();
    void exchange(member& from, const gossip_target& target);
    gossip_message carry(const gossip_message& it);

    seeded_random random_;
    double loss_;
    instant now_{millis{60000}};
    std::vector<member> members_;
    std::unordered_map<std::string, std::size_t> index_; // By rpc address.
    std::vector<vm_seed> list_;
    std::uint64_t bytes_{0};
    std::uint64_t messages_{0};
};

} // namespace berylcrank::bench
