#pragma once

#include "modules/berylcrank_routing/cold/cold_gate.h"
#include "modules/berylcrank_routing/cold/permit_issuer.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace berylcrank::bench {

/** A pool of upstreams that all start cold at the same time behind nodes that always have work for them,
   under a virtual clock without faults. Issuers and gates are the real ones. */
class cold_start_simulation {
public:
    struct options {
        std::size_t nodes{15};
        std::size_t upstreams{15};
        cold_limits limits;
        millis service{10}; ///< Time in which a cold upstream answers.
        std::uint64_t seed{1};
    };

    struct outcome {
        millis first_answer;
        millis half_warm; ///< Until the holder declared half of the upstreams warm.
        millis all_warm;
        millis all_known;                ///< Until every node knew that all are warm.
        std::uint32_t most_in_flight{0}; ///< At one upstream that was not declared warm.
        std::uint64_t asks{0};           ///< For permits, of all nodes.
    };

    explicit cold_start_simulation(const options& it);

    outcome run();

private:
    struct node {
        incarnation run;
        std::unique_ptr<permit_issuer> issuer;
        std::unique_ptr<cold_gate> gate;
        std::uint16_t last_port{0};
    };
    struct upstream {
        std::string name;
        std::size_t holder{0};
        std::uint32_t in_flight{0};
        bool is_warm{false};
    };

    void at(millis delay, std::function<void()> it) { events_.emplace(now_ + delay, std::move(it)); }
    void ask(std::size_t from, std::size_t to);
    void send(std::size_t from, std::size_t to, const permit_response& permit, instant asked);
    void gossip(std::size_t from);
    void take_news(std::size_t from);

    const options options_;
    seeded_random random_;
    instant start_{millis{1000}};
    instant now_{start_};
    std::multimap<instant, std::function<void()>> events_;
    std::vector<node> nodes_;
    std::vector<upstream> upstreams_;
    std::size_t warm_{0};
    outcome outcome_;
};

} // namespace berylcrank::bench
