#include "modules/berylcrank_routing/service/service_router.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

namespace berylcrank {

namespace {

struct router_fixture {
    service_config service{.name = "pedidos", .retry_budget_percent = 10, .queue_limit = 2};
    std::unique_ptr<service_router> subject;
    std::vector<route_grant> grants;
    std::vector<route_refusal> refusals;
    instant now{millis{1000}};

    explicit router_fixture(std::size_t upstreams = 3, std::uint32_t slots = 1) {
        subject = std::make_unique<service_router>(service, service_router::options{});
        update(upstreams, slots);
    }

    std::vector<routed_upstream> upstreams(std::size_t count, std::uint32_t slots = 1) const {
        std::vector<routed_upstream> all;
        for (std::size_t n = 0; n < count; ++n) {
            all.push_back({.config = {.name = "u" + std::to_string(n),
                                      .service = "pedidos",
                                      .failure_domain = n % 2 == 0 ? "a" : "b",
                                      .slots = slots}});
        }
        return all;
    }

    void update(std::size_t count, std::uint32_t slots = 1) {
        subject->update(service, upstreams(count, slots), now);
    }

    std::uint64_t acquire(route_request request = {}) {
        const auto done = [this](const route_result& result) {
            if (const auto* granted = std::get_if<route_grant>(&result)) {
                grants.push_back(*granted);
            } else {
                refusals.push_back(std::get<route_refusal>(result));
            }
        };
        return subject->acquire(std::move(request), done, now);
    }

    void release(attempt_outcome outcome = attempt_outcome::success) {
        const auto grant = grants.front();
        grants.erase(grants.begin());
        subject->release(grant, outcome, now);
    }
};

} // namespace

TEST_CASE_FIXTURE(router_fixture, "service_router, removed upstreams, get no new requests and are erased") {
    acquire();
    const auto held = grants.front().upstream->name;
    subject->update(service, {}, now);
    acquire();
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].reason == refusal_reason::no_upstream);
    CHECK(subject->view(held, now).has_value()); // it stays until its last release
    release();
    CHECK_FALSE(subject->view(held, now).has_value());
    CHECK(subject->stats(now).upstreams == 0);
    CHECK(subject->stats(now).in_flight == 0);
}

// Guards against requests to a draining upstream or to one in a failure domain that is out of use.
TEST_CASE_FIXTURE(router_fixture,
                  "service_router, draining upstream or domain out of use, chooses the others") {
    auto all = upstreams(3, 10);
    all[0].config.draining = true;
    all[1].is_domain_in_use = false;
    subject->update(service, all, now);
    for (int n = 0; n < 10; ++n) {
        acquire();
    }
    REQUIRE(grants.size() == 10);
    for (const auto& grant : grants) {
        CHECK(grant.upstream->name == "u2");
    }
}

TEST_CASE_FIXTURE(router_fixture,
                  "service_router, all upstreams at their limits, queues by class and serves on release") {
    for (int n = 0; n < 6; ++n) { // two per slot
        acquire();
    }
    REQUIRE(grants.size() == 6);
    acquire({.request_class = request_class::lookup, .deadline = now + millis{100}});
    acquire({.request_class = request_class::order, .deadline = now + millis{500}});
    acquire({.request_class = request_class::lookup, .deadline = now + millis{100}});
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].reason == refusal_reason::queue_full);
    CHECK_FALSE(refusals[0].is_retry_useful);
    release();
    CHECK(subject->stats(now).granted[static_cast<std::size_t>(request_class::order)] == 1);
    now = now + millis{101};
    subject->tick(now);
    REQUIRE(refusals.size() == 2);
    CHECK(refusals[1].reason == refusal_reason::deadline);
    CHECK(subject->stats(now).waiting == 0);
}

TEST_CASE_FIXTURE(router_fixture, "service_router, cancelled queued request, is never granted") {
    for (int n = 0; n < 6; ++n) {
        acquire();
    }
    const auto number = acquire();
    CHECK(subject->cancel(number));
    CHECK_FALSE(subject->cancel(number));
    release();
    CHECK(grants.size() == 5);
    CHECK(refusals.empty());
}

// Guards against retries that multiply the load during an overload.
TEST_CASE_FIXTURE(router_fixture,
                  "service_router, retries beyond the budget, refuses them and advises against a retry") {
    update(3, 100);
    for (int n = 0; n < 20; ++n) {
        acquire({.kind = attempt_kind::retry});
    }
    CHECK(grants.size() == 3);
    REQUIRE(refusals.size() == 17);
    CHECK(refusals[0].reason == refusal_reason::budget_exhausted);
    CHECK_FALSE(refusals[0].is_retry_useful);
}

TEST_CASE_FIXTURE(router_fixture, "service_router, gates, admit only permitted requests to cold upstreams") {
    subject->set_gate("u0", {.access = upstream_gate::access_mode::closed}, now);
    subject->set_gate("u1", {.access = upstream_gate::access_mode::closed}, now);
    subject->set_gate("u2", {.access = upstream_gate::access_mode::by_permit, .permits = 1}, now);
    acquire();
    acquire();
    REQUIRE(grants.size() == 2);
    CHECK(grants[0].used_permit);
    CHECK(grants[1].needs_permit);
    subject->set_gate("u2", {.access = upstream_gate::access_mode::by_permit, .may_request_permit = false},
                      now);
    acquire();
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].reason == refusal_reason::no_upstream);
}

// Guards against an upstream that gets no requests, and so never becomes warm, while others have capacity.
TEST_CASE_FIXTURE(router_fixture,
                  "service_router, one upstream by permit under a light load, gets permit requests") {
    update(3, 10);
    subject->set_gate("u1", {.access = upstream_gate::access_mode::by_permit}, now);
    int permit_requests = 0;
    for (int n = 0; n < 1000; ++n) { // one request every 5 ms
        now = now + millis{5};
        acquire();
        permit_requests += grants.front().needs_permit ? 1 : 0;
        release(grants.front().needs_permit ? attempt_outcome::unused : attempt_outcome::success);
    }
    // Often enough for the upstream to become warm, and rarely enough that few requests wait for a permit.
    CHECK(permit_requests >= 5);
    CHECK(permit_requests <= 20);
}

// Guards against a suspect that crashes an upstream with other requests of this node in flight.
TEST_CASE_FIXTURE(router_fixture,
                  "service_router, request that needs an exclusive upstream, does not share it") {
    update(2, 10);
    acquire({.needs_exclusive_upstream = true});
    for (int n = 0; n < 10; ++n) {
        acquire();
    }
    REQUIRE(grants.size() == 11);
    for (std::size_t n = 1; n < grants.size(); ++n) {
        CHECK(grants[n].upstream->name != grants[0].upstream->name);
    }
    release();
    acquire({.needs_exclusive_upstream = true});
    CHECK(grants.size() == 11);
}

// Guards against ejecting every upstream of a service when all fail for a moment.
TEST_CASE_FIXTURE(router_fixture,
                  "service_router, all upstreams fail, ejects a limited share and fails open") {
    update(6, 10);
    for (int n = 0; n < 200; ++n) {
        acquire();
        release(attempt_outcome::error);
        CHECK(subject->stats(now).ejected <= 2);
    }
    CHECK(subject->stats(now).ejected == 2);
    CHECK(refusals.empty());
    acquire({.excluded = {"u0", "u1", "u2", "u3"}});
    CHECK(grants.size() == 1);
}

TEST_CASE_FIXTURE(router_fixture,
                  "service_router, probe budget, probes the upstream with the oldest report") {
    service.probe_budget_percent = 10;
    update(3);
    CHECK(subject->next_probe(now) == nullptr);
    now = now + millis{3000};
    acquire();
    const auto reporting = grants.front().upstream->name;
    subject->report_load(grants.front(), {.in_flight = 1, .slots = 1}, now);
    const auto first = subject->next_probe(now);
    REQUIRE(first);
    CHECK(first->name != reporting);
    subject->probe_done(first->name, load_report{.in_flight = 0, .slots = 1}, millis{4}, now);
    CHECK(subject->stats(now).probe_time == millis{6});
}

// Guards against lost or repeated callbacks and, with ThreadSanitizer, against data races.
TEST_CASE_FIXTURE(router_fixture,
                  "service_router, several threads, calls each callback once and ends empty") {
    service.queue_limit = 100;
    update(4, 2);
    constexpr int per_thread = 2000;
    std::atomic<int> results{0};
    {
        std::vector<std::jthread> threads;
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([&, t] {
                for (int n = 0; n < per_thread; ++n) {
                    const instant time{millis{1000 + n}};
                    const auto done = [&, time](const route_result& result) {
                        ++results;
                        if (const auto* granted = std::get_if<route_grant>(&result)) {
                            subject->report_load(*granted, {.in_flight = 1, .slots = 2}, time);
                            subject->release(*granted, attempt_outcome::success, time);
                        }
                    };
                    subject->acquire({.request_class = static_cast<request_class>(n % 3)}, done, time);
                    if (n % 100 == t) {
                        update(3 + static_cast<std::size_t>(n / 100 % 3), 2);
                    }
                }
            });
        }
    }
    subject->tick(instant{millis{100000}});
    CHECK(results == 4 * per_thread);
    CHECK(subject->stats(now).in_flight == 0);
    CHECK(subject->stats(now).waiting == 0);
}

} // namespace berylcrank
