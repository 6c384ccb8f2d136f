#pragma once

#include "modules/berylcrank_routing/cold/cold_gate.h"
#include "modules/berylcrank_routing/cold/permit_issuer.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace berylcrank::bench {

/** Simulates upstreams that all start cold at the same time. Every node always has requests for every
    upstream. The clock is virtual and there are no faults; permit issuers and cold gates are the real ones.
 */
class cold_start_simulation {
public:
    struct options {
        std::size_t nodes{15};
        std::size_t upstreams{15};
        cold_limits limits;
        millis service_time{10}; ///< Service time of a cold upstream.
        std::uint64_t seed{1};
    };

    /** Times are measured from the start of the simulation. */
    struct outcome {
        millis first_response;
        millis half_warm;                 ///< Until the holders have declared half of the upstreams warm.
        millis all_warm;                  ///< Until the holders have declared all upstreams warm.
        millis known_by_all;              ///< Until every node knows that all upstreams are warm.
        std::uint32_t max_in_flight{0};   ///< At one upstream that is not declared warm.
        std::uint64_t permit_requests{0}; ///< Of all nodes.
    };

    explicit cold_start_simulation(const options& opts);

    /** Runs until every node knows that all upstreams are warm, for 120 s at most. */
    outcome run();

private:
    struct node {
        incarnation self;
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

    void run_after(millis delay, std::function<void()> event) {
        events_.emplace(now_ + delay, std::move(event));
    }
    void request_permit(std::size_t from, std::size_t to);
    void send(std::size_t from, std::size_t to, const permit_response& permit, instant requested_at);
    void gossip(std::size_t from);
    void process_warm_reports(std::size_t holder);

    const options options_;
    seeded_random random_;
    instant start_{millis{1000}};
    instant now_{start_};
    std::multimap<instant, std::function<void()>> events_;
    std::vector<node> nodes_;
    std::vector<upstream> upstreams_;
    std::size_t warm_count_{0};
    outcome outcome_;
};

} // namespace berylcrank::bench
