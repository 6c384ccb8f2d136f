#include "modules/berylcrank_balance/admission/admission_control.h"
#include "modules/berylcrank_balance/admission/slot_shares.h"
#include "modules/berylcrank_balance/admission/wait_queue.h"
#include "modules/berylcrank_balance/choice/upstream_choice.h"

#include <algorithm>
#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <map>

namespace berylcrank {

namespace {

instant at(std::int64_t ms) {
    return instant{millis{ms}};
}

constexpr std::uint32_t service = 9;

struct shares_fixture {
    upstream_directory directory;
    std::vector<std::unique_ptr<slot_shares>> nodes;
    std::vector<std::string> domains;
    std::vector<int> rates;

    void add_upstream(const std::string& id, const std::string& domain) {
        directory.apply(
            {.id = id, .service = "s", .address = "10.0.0.1:80", .failure_domain = domain, .slots = 4},
            millis{}, at(0));
    }

    void add_node(const std::string& domain, int per_second) {
        nodes.push_back(std::make_unique<slot_shares>(nodes.size() + 1, domain));
        domains.push_back(domain);
        rates.push_back(per_second);
    }

    // Every node, or only one, reports queued requests to all others.
    void exchange_demand(instant now, std::size_t only = SIZE_MAX) {
        for (std::size_t from = 0; from < nodes.size(); ++from) {
            const std::array<waiting_count, 1> it{
                {{.service = service, .on_time = 2, .per_second = rates[from]}}};
            for (std::size_t to = 0; to < nodes.size(); ++to) {
                if (from != to && (only == SIZE_MAX || only == from)) {
                    nodes[to]->update_demand(from + 1, domains[from], it, now);
                }
            }
        }
    }

    [[nodiscard]] int total(std::size_t node, instant now, std::string_view domain = {}) {
        const auto& share = nodes[node]->of_service(
            service, rates[node], directory.of_service("s"), [](const upstream&) { return 3; }, now);
        int sum = 0;
        for (const auto& [number, slots] : share) {
            sum += domain.empty() || directory.find(number)->entry.failure_domain == domain ? slots : 0;
        }
        return sum;
    }
};

} // namespace

// Upstreams must not be overloaded or left idle because the shares of the nodes do not add up.
TEST_CASE_FIXTURE(
    shares_fixture,
    "slot_shares, all nodes have queued requests, divides all slots in proportion to the arrival rates") {
    for (int i = 0; i < 8; ++i) {
        add_upstream("u" + std::to_string(i), i % 2 == 0 ? "north" : "south");
    }
    add_node("north", 10);
    add_node("north", 10);
    add_node("south", 30);
    add_node("south", 10);
    exchange_demand(at(100));
    int sum = 0;
    std::map<std::uint32_t, int> filled;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        sum += total(i, at(100));
        for (const auto& [number, slots] : nodes[i]->of_service(
                 service, rates[i], directory.of_service("s"), [](const upstream&) { return 3; }, at(100))) {
            filled[number] += slots;
        }
    }
    CHECK(sum == 24);
    CHECK(std::all_of(filled.begin(), filled.end(), [](const auto& it) { return it.second == 3; }));
    CHECK(total(2, at(100)) == 12); // half of the requests arrive at this node
    CHECK(total(0, at(100), "north") == total(0, at(100)));
    CHECK(total(2, at(100), "south") >= 8);
}

// No slots may be reserved for a node that no longer needs them.
TEST_CASE_FIXTURE(shares_fixture, "slot_shares, node has no recent demand or is removed, gets no share") {
    add_upstream("a", "north");
    add_upstream("b", "north");
    add_node("north", 10);
    add_node("north", 10);
    exchange_demand(at(100), 1);
    CHECK(nodes[0]->has_remote_demand(service, at(110)));
    CHECK(nodes[0]->has_any_remote_demand(at(110)));
    CHECK(total(0, at(110)) == 3);
    CHECK(total(0, at(110) + slot_shares::demand_lifetime) == 6);
    CHECK_FALSE(nodes[0]->has_remote_demand(service, at(110) + slot_shares::demand_lifetime));
    exchange_demand(at(900), 1);
    CHECK(total(0, at(900)) == 3);
    nodes[0]->forget(2);
    CHECK(total(0, at(920)) == 6);
}

// Late requests must not yield forever, and must not yield to other late requests.
TEST_CASE_FIXTURE(shares_fixture,
                  "slot_shares, another node has queued on-time requests, reports them for a limited time") {
    add_node("north", 10);
    add_node("north", 10);
    exchange_demand(at(100), 1);
    CHECK(nodes[0]->has_remote_on_time_demand(service, at(110)));
    CHECK_FALSE(nodes[1]->has_remote_on_time_demand(service, at(110)));
    CHECK_FALSE(nodes[0]->has_remote_on_time_demand(service, at(100) + slot_shares::on_time_demand_lifetime));
    nodes[0]->update_demand(2, "north", std::array{waiting_count{.service = service, .late = 3}}, at(200));
    CHECK(nodes[0]->has_remote_demand(service, at(210)));
    CHECK_FALSE(nodes[0]->has_remote_on_time_demand(service, at(210)));
}

namespace {

constexpr int node_count = 12;
constexpr int upstream_count = 9;
constexpr int slot_count = 6;
constexpr double work_ms = 66;
constexpr std::int64_t step_ms = 5;
constexpr std::int64_t message_ms = 25;
constexpr millis target{200};
constexpr std::int64_t retry_ms = 150;
constexpr std::int64_t late_wait_ms = 300;

struct simulated_request {
    std::int64_t arrived{0};
    std::int64_t remaining_work{0}; // remaining work at normal speed, in hundredths of a millisecond
    int node{0};
};

struct simulated_node {
    load_tracker loads;
    wait_queue waiting;
    std::unique_ptr<slot_shares> shares;
    std::map<std::uint64_t, std::int64_t> arrivals; // first arrivals of the queued requests, by number
    int served{0};
};

// Simulates nodes that exchange their load every 25 ms and send a burst of 1.3 times the throughput of the
// upstreams below the knee. An upstream with more than 80 % of its slots in use takes 1.7 times as long per
// request, and queues requests beyond its slots.
class burst_simulation {
public:
    struct options {
        bool with_shares{true};
        bool newest_first{true};
        bool callers_retry{false}; // once, after a refusal; then they are late
        bool late_yield{false};
    };

    explicit burst_simulation(const options& it) : options_(it), random_(11), nodes_(node_count) {
        for (int i = 0; i < upstream_count; ++i) {
            directory_.apply(
                {.id = std::to_string(i), .service = "s", .address = "10.0.0.1:80", .slots = slot_count},
                millis{}, at(0));
        }
        for (int i = 0; i < node_count; ++i) {
            nodes_[i].shares = std::make_unique<slot_shares>(i + 1, "");
        }
    }

    // Returns the share of requests that meet the latency target.
    double run() {
        constexpr double capacity_per_ms = upstream_count * 4 / work_ms;
        for (now_ = 1000; now_ < 6000; now_ += step_ms) {
            process();
            if (now_ % message_ms == 0) {
                exchange();
            }
            due_ += 1.3 * capacity_per_ms * step_ms;
            while (due_ >= 1) {
                due_ -= 1;
                arrive(static_cast<int>(random_.below(node_count)));
            }
            admit_retries();
            for (auto& it : nodes_) {
                for (const auto& refused : it.waiting.expired(at(now_))) {
                    refuse(it, refused);
                }
                send(it);
            }
        }
        return static_cast<double>(on_time_) / total_;
    }

private:
    void process() {
        for (auto& [number, running] : running_) {
            const auto busy = static_cast<int>(std::min<std::size_t>(running.size(), slot_count));
            const double speed = busy > 0.8 * slot_count ? 1 / 1.7 : 1;
            for (int i = 0; i < busy; ++i) {
                running[i].remaining_work -= static_cast<std::int64_t>(speed * step_ms * 100);
            }
            std::erase_if(running, [this, n = number](const auto& it) {
                if (it.remaining_work > 0) {
                    return false;
                }
                nodes_[it.node].loads.ended(n);
                nodes_[it.node].served++;
                on_time_ += now_ - it.arrived <= target.count() ? 1 : 0;
                return true;
            });
        }
    }

    void exchange() {
        for (int from = 0; from < node_count; ++from) {
            std::vector<in_flight_count> flights;
            for (const auto& [number, load] : nodes_[from].loads.all()) {
                if (load.own > 0) {
                    flights.push_back({.upstream = number, .count = load.own});
                }
            }
            auto count = nodes_[from].waiting.count("s");
            count.per_second = 40;
            for (int to = 0; to < node_count; ++to) {
                if (to != from) {
                    nodes_[to].loads.set_peer_in_flight(from + 1, flights);
                    nodes_[to].shares->update_demand(from + 1, "", std::array{count}, at(now_));
                }
            }
        }
    }

    void refuse(simulated_node& it, const waiting_request& refused) {
        if (options_.callers_retry && !refused.late) {
            retries_.emplace(now_ + retry_ms, it.arrivals[refused.number]);
        }
        it.arrivals.erase(refused.number);
    }

    // Refused callers retry at a random node.
    void admit_retries() {
        while (!retries_.empty() && retries_.begin()->first <= now_) {
            auto& it = nodes_[random_.below(node_count)];
            const auto number = ++next_;
            it.arrivals[number] = retries_.begin()->second;
            retries_.erase(retries_.begin());
            it.waiting.push({.number = number,
                             .service = "s",
                             .late = true,
                             .expires_at = at(now_ + late_wait_ms),
                             .queued_at = at(now_)});
            send(it);
        }
    }

    void arrive(int node) {
        ++total_;
        auto& it = nodes_[node];
        const auto number = ++next_;
        const auto decision = decide_admission({.latency_target = target,
                                                .deadline_left = millis{1200},
                                                .duration = millis::from_value(work_ms),
                                                .drained_per_second = 40},
                                               {});
        it.arrivals[number] = now_;
        it.waiting.push({.number = number,
                         .service = "s",
                         .late = !options_.newest_first,
                         .expires_at = at(now_) + decision.max_wait,
                         .queued_at = at(now_)});
        send(it);
    }

    void send(simulated_node& it) {
        while (!it.waiting.fronts("s").empty()) {
            const auto front = it.waiting.fronts("s").front();
            choice_request request{.candidates = directory_.of_service("s"),
                                   .cold_allowed = [](const upstream&) { return true; }};
            const auto own = service_number("s");
            if (options_.late_yield && front.late && it.shares->has_remote_on_time_demand(own, at(now_))) {
                return;
            }
            if (options_.with_shares && it.shares->has_remote_demand(own, at(now_))) {
                request.shares = &it.shares->of_service(
                    own, 40, directory_.of_service("s"), [](const upstream&) { return 4; }, at(now_));
                request.borrow_probability = it.shares->borrow_probability(own, at(now_));
            }
            const auto picked = choose_upstream(directory_, it.loads, request, {}, random_, at(now_));
            if (!picked.it) {
                return;
            }
            it.waiting.erase(front.number);
            it.loads.sent(picked.it->number);
            running_[picked.it->number].push_back(
                {.arrived = it.arrivals[front.number],
                 .remaining_work = static_cast<std::int64_t>(work_ms * 100 * (0.7 + 0.6 * random_.unit())),
                 .node = static_cast<int>(&it - nodes_.data())});
            it.arrivals.erase(front.number);
        }
    }

    options options_;
    seeded_random random_;
    upstream_directory directory_;
    std::vector<simulated_node> nodes_;
    std::map<std::uint32_t, std::deque<simulated_request>> running_;
    std::multimap<std::int64_t, std::int64_t> retries_; // first arrivals of refused requests, by retry time
    std::int64_t now_{0};
    double due_{0};
    std::uint64_t next_{0};
    int on_time_{0};
    int total_{0};
};

} // namespace

// During a burst, all nodes would send to the same free slots, and every response would be late. Compares
// with the method that this replaces: no shares, and requests served in order of arrival.
TEST_CASE("slot_shares and wait_queue, burst of 1.3 times the capacity, serve most requests on time") {
    const double before = burst_simulation({.with_shares = false, .newest_first = false}).run();
    const double shares = burst_simulation({.newest_first = false}).run();
    const double both = burst_simulation({}).run();
    MESSAGE("on time: neither ", before, ", shares ", shares, ", shares and newest first ", both);
    CHECK(shares > before);
    CHECK(both > shares);
    CHECK(both >= 0.8 / 1.3); // at least four fifths of the throughput of the upstreams
}

// Refused callers that retry late would take the slots of on-time requests and sustain the overload. Compares
// with the method that this replaces: late requests use any free slot.
TEST_CASE("slot_shares, refused callers retry late, serves on-time requests first") {
    const double before = burst_simulation({.callers_retry = true}).run();
    const double after = burst_simulation({.callers_retry = true, .late_yield = true}).run();
    MESSAGE("on time: late requests use any free slot ", before, ", yield ", after);
    CHECK(after > before);
    CHECK(after >= 0.8 / 1.3);
}

} // namespace berylcrank
