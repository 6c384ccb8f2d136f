#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_node/request/suspect_router.h"

#include <doctest/doctest.h>

namespace berylcrank {

namespace {

class fixed_target final : public attempt_target {
public:
    explicit fixed_target(std::string upstream) : upstream_(std::move(upstream)) {}
    [[nodiscard]] const std::string& upstream() const override { return upstream_; }
    [[nodiscard]] const std::string& address() const override { return upstream_; }
    bool may_send(const connection_info&) override { return true; }
    void report_load(std::string_view) override {}
    void finish(const attempt_result&) override {}

private:
    std::string upstream_;
};

// Assigns a new upstream to each attempt.
class numbering_router final : public attempt_router {
public:
    void route(attempt_request, target_callback found, refusal_callback) override {
        found(std::make_unique<fixed_target>("u" + std::to_string(++assigned)));
    }
    int assigned{0};
};

struct suspect_router_fixture {
    manual_clock time;
    upstream_runs runs;
    suspect_table suspects{{}, [this](const upstream_loss& it) { return runs.has_survived(it); }};
    numbering_router next;
    suspect_router subject{{.time = time, .suspects = suspects, .runs = runs, .next = next}};

    // Runs one attempt that ends after 5 ms. Returns false if it was refused.
    bool attempt(attempt_end end, bool is_retry = false, int status = 200) {
        bool is_found = false;
        subject.route(
            {.fingerprint = 7, .is_retry = is_retry},
            [&](std::unique_ptr<attempt_target> it) {
                is_found = true;
                it->may_send({});
                time.advance(millis{5});
                it->finish({.end = end, .status = status});
            },
            [](const attempt_refusal&) {});
        return is_found;
    }
};

} // namespace

// Guards against a request that crashes one upstream after the other, sent again by the node or by its
// caller.
TEST_CASE_FIXTURE(
    suspect_router_fixture,
    "suspect_router, request crashes upstreams, is not retried after two and refused after three") {
    CHECK(attempt(attempt_end::reset));
    CHECK(attempt(attempt_end::reset, true));
    CHECK_FALSE(attempt(attempt_end::reset, true));
    CHECK(attempt(attempt_end::reset));
    CHECK_FALSE(attempt(attempt_end::reset));
    CHECK(next.assigned == 3);
}

// Guards against refusing a request because upstreams reject it or respond with errors.
TEST_CASE_FIXTURE(suspect_router_fixture, "suspect_router, upstreams respond, refuses nothing") {
    for (int n = 0; n < 4; ++n) {
        CHECK(attempt(attempt_end::shed));
        CHECK(attempt(attempt_end::complete, false, 500));
        CHECK(attempt(attempt_end::cancelled));
    }
    CHECK(suspects.empty());
}

// Guards against a trial that blocks all later ones because its attempt was never sent.
TEST_CASE_FIXTURE(suspect_router_fixture, "suspect_router, trial is not sent, the next copy is a trial") {
    for (int n = 0; n < 3; ++n) {
        attempt(attempt_end::reset);
    }
    time.advance(suspect_table::options{}.refusal);
    CHECK(attempt(attempt_end::denied));
    CHECK(attempt(attempt_end::complete));
    CHECK(attempt(attempt_end::complete));
}

// Guards against counting lost connections of an upstream that goes on running, and against forgetting a
// crash because the upstream has started again.
TEST_CASE("upstream_runs, upstream responds after a loss, has survived it in the same run only") {
    upstream_runs subject;
    const instant start{millis{1000}};
    subject.on_response("u", "first", start);
    const upstream_loss loss{
        .upstream = upstream_runs::number_of("u"), .run = subject.run_of("u"), .lost_at = start + millis{10}};
    CHECK_FALSE(subject.has_survived(loss));
    subject.on_response("u", "second", start + millis{20});
    CHECK_FALSE(subject.has_survived(loss));
    subject.on_response("u", "first", start + millis{30});
    CHECK(subject.has_survived(loss));
    subject.on_response("v", "", start + millis{30});
    CHECK_FALSE(subject.has_survived({.upstream = upstream_runs::number_of("v"), .lost_at = start}));
}

} // namespace berylcrank
