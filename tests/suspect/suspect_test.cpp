#include "modules/berylcrank_core/random/random_source.h"
#include "tests/suspect/suspect_fixture.h"

#include <doctest/doctest.h>

namespace berylcrank {

namespace {

using action_kind = suspect_verdict::action_kind;
using testing::suspect_fixture;

} // namespace

// Guards against a request that crashes one upstream after the other, sent by its caller to several nodes.
TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, crashes in sequence at two nodes, all nodes refuse the request") {
    crash(first, request);
    crash(first, request);
    CHECK(action(first) == action_kind::run);
    exchange_reports();
    crash(second, request);
    CHECK(action(second) == action_kind::refuse);
    exchange_reports();
    CHECK(action(first) == action_kind::refuse);
    CHECK(first.check(request, now).retry_after <= options.refusal);
    CHECK(action(first, bystander) == action_kind::run);
}

// Guards against a trial of several copies at once, and against a refusal that ends without a trial.
TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, refusal has passed, allows one trial and refuses for twice the time") {
    for (int n = 0; n < 3; ++n) {
        crash(first, request);
    }
    now = now + options.refusal - millis{1};
    CHECK(action(first) == action_kind::refuse);
    now = now + millis{1};
    CHECK(action(first) == action_kind::trial);
    CHECK(action(first) == action_kind::refuse);
    first.on_trial_unused(request);
    CHECK(action(first) == action_kind::trial);
    exchange_reports();
    CHECK(action(second) == action_kind::refuse); // one trial at a time, at all nodes
    CHECK_FALSE(first.allows_retry(request));
    crash(first, request);
    exchange_reports();
    now = now + options.refusal * 2.0 - millis{1};
    CHECK(action(first) == action_kind::refuse);
    CHECK(action(second) == action_kind::refuse);
    now = now + millis{1};
    CHECK(action(second) == action_kind::trial);
}

// Guards against trials at many nodes at once: each starts one before it hears of the others.
TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, refusal has passed at two nodes, only one starts a trial") {
    auto later = options;
    later.trial_delay = millis{5000};
    suspect_table other(later, [](const upstream_loss&) { return false; });
    for (int n = 0; n < 3; ++n) {
        crash(first, request);
    }
    other.merge(first.refused(8, now), now);
    now = now + options.refusal;
    CHECK(action(first) == action_kind::trial);
    CHECK(action(other) == action_kind::refuse);
    crash(first, request);
    other.merge(first.take_changes(8, now), now);
    now = now + later.trial_delay;
    CHECK(action(other) == action_kind::refuse); // for twice the time
    now = now + options.refusal * 2.0;
    CHECK(action(other) == action_kind::trial); // the other node got no copy
}

// Guards against copies that are sent to ever more upstreams because they overlap, which crash late in a run.
TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, copies overlap and crash upstreams one by one, refuses the request") {
    const auto sent = now;
    for (int n = 0; n < 3; ++n) {
        CHECK(action(first) == action_kind::run);
        now = now + upstream_loss::separate_crash_time;
        first.on_lost(request, {.upstream = next_upstream++, .sent_at = sent, .lost_at = now, .closed = true},
                      now);
    }
    CHECK(action(first) == action_kind::refuse);
}

// Guards against refusing a harmless request whose copies are noticed one by one to be lost, though their
// upstreams may have crashed at one moment: silent ones, and those of a failure domain.
TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, copies of one moment are noticed late, does not refuse the request") {
    const auto sent = now;
    for (int n = 0; n < 4; ++n) {
        now = now + upstream_loss::separate_crash_time;
        first.on_lost(request, {.upstream = next_upstream++, .sent_at = sent, .lost_at = now}, now);
        first.on_lost(
            bystander,
            {.upstream = next_upstream++, .sent_at = sent, .lost_at = sent + millis{200 * n}, .closed = true},
            now);
    }
    CHECK(action(first) == action_kind::run);
    CHECK(action(first, bystander) == action_kind::run);
}

// Guards against a node that sends a suspect again by itself when one more crash would lead to its refusal.
TEST_CASE_FIXTURE(suspect_fixture, "suspect_table, one crash is left until the refusal, allows no retry") {
    crash(first, request);
    CHECK(first.allows_retry(request));
    crash(first, request);
    CHECK_FALSE(first.allows_retry(request));
    CHECK(first.allows_retry(bystander));
}

// Guards against a harmless request that stays refused, and against reports on their way that restore it.
TEST_CASE_FIXTURE(
    suspect_fixture,
    "suspect_table, success, clears the suspect at all nodes and old reports do not restore it") {
    for (int n = 0; n < 3; ++n) {
        crash(first, request);
    }
    const auto old = first.take_changes(100, now);
    second.merge(old, now);
    REQUIRE(action(second) == action_kind::refuse);
    now = now + options.refusal;
    REQUIRE(action(first) == action_kind::trial);
    first.on_success(request, now);
    exchange_reports();
    CHECK(action(first) == action_kind::run);
    CHECK(action(second) == action_kind::run);
    CHECK(second.false_refusals() == 1);
    second.merge(old, now); // repeated by another node
    first.merge(old, now);
    CHECK(action(first) == action_kind::run);
    CHECK(action(second) == action_kind::run);
}

// Guards against refusing innocent requests that were in flight when a suspect crashed an upstream.
TEST_CASE_FIXTURE(suspect_fixture, "suspect_table, request in flight at a crash, is not refused") {
    for (int n = 0; n < 3; ++n) {
        crash(first, request);
        first.on_lost(bystander,
                      {.upstream = next_upstream - 1, .run = 1, .sent_at = instant{}, .lost_at = now}, now);
    }
    CHECK(action(first) == action_kind::refuse);
    CHECK(action(first, bystander) == action_kind::run); // all its copies were sent before the first crash
}

// Guards against refusing popular requests after the loss of a failure domain.
TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, several upstreams lost at once, does not refuse the request") {
    const auto sent = now;
    now = now + millis{50};
    for (std::uint32_t n = 0; n < 20; ++n) {
        auto& at = n % 2 == 0 ? first : second;
        at.on_lost(request, {.upstream = 100 + n, .run = 1, .sent_at = sent, .lost_at = now + millis{n}},
                   now);
    }
    exchange_reports();
    CHECK(action(first) == action_kind::run);
    CHECK(action(second) == action_kind::run);
    CHECK(first.allows_retry(request));
}

// Guards against refusing requests whose responses were lost although the upstreams still run.
TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, upstream responds after the loss, the loss does not count") {
    for (int n = 0; n < 3; ++n) {
        crash(first, request);
    }
    const auto verdict = first.check(request, now);
    CHECK(verdict.action == action_kind::refuse);
    CHECK(verdict.retry_after <= options.evidence_time);
    survivors.insert({next_upstream - 1, 1});
    CHECK(action(first) == action_kind::run);
    survivors.insert({next_upstream - 2, 1});
    survivors.insert({next_upstream - 3, 1});
    now = now + millis{2000};
    CHECK(first.take_changes(100, now).empty());
    CHECK(first.empty());
    CHECK(first.false_refusals() == 1);
}

// Guards against a crash that counts twice because several nodes or messages report it.
TEST_CASE_FIXTURE(suspect_fixture, "suspect_table, crash reported twice, counts once") {
    crash(first, request);
    crash(first, request);
    now = now + options.evidence_time;
    for (int n = 0; n < 3; ++n) {
        const auto reports = first.take_changes(100, now);
        now = now + millis{20}; // each copy arrives later, so its times are estimated later
        second.merge(reports, now);
        first.merge(reports, now);
    }
    CHECK(action(first) == action_kind::run);
    CHECK(action(second) == action_kind::run);
}

// Guards against counting two crashes of an upstream as one because its new registration has not arrived.
TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, upstream crashes again after its start, both crashes count") {
    for (int n = 0; n < 3; ++n) {
        first.on_lost(request, {.upstream = 1, .run = 1, .sent_at = now, .lost_at = now + millis{5}}, now);
        first.on_lost(request, {.upstream = 1, .run = 1, .sent_at = now, .lost_at = now + millis{9}}, now);
        now = now + millis{3000};
    }
    CHECK(first.losses() == 3);
    CHECK(action(first) == action_kind::refuse);
}

// Guards against cells of a large deployment that each count their own crashes of a request.
TEST_CASE_FIXTURE(suspect_fixture, "suspect_table, crashes in several cells, are relayed and add up") {
    suspect_table third(options, [](const upstream_loss&) { return false; });
    for (auto* at : {&first, &second, &third}) {
        crash(*at, request);
        now = now + options.evidence_time;
        const auto reports = at->take_changes(8, now, report_scope::other_cells);
        REQUIRE(reports.size() == 1);
        auto& next = at == &first ? second : third;
        next.merge(reports, now, report_scope::other_cells);
    }
    CHECK(action(third) == action_kind::refuse);
    CHECK(third.take_changes(8, now).size() == 1); // to its cell
    CHECK(action(first) == action_kind::run);
    first.merge(third.take_changes(8, now, report_scope::other_cells), now, report_scope::other_cells);
    CHECK(action(first) == action_kind::refuse);
}

// Guards against reports that nodes relay to each other without end.
TEST_CASE_FIXTURE(suspect_fixture, "suspect_table, report of another cell is not new, is not relayed") {
    for (int n = 0; n < 30; ++n) { // more than a table keeps
        crash(first, request);
    }
    int messages = 0;
    for (; messages < 100; ++messages) {
        now = now + millis{40}; // each message makes the times of the losses later
        const auto from_first = first.take_changes(100, now, report_scope::other_cells);
        const auto from_second = second.take_changes(100, now, report_scope::other_cells);
        if (from_first.empty() && from_second.empty()) {
            break;
        }
        second.merge(from_first, now, report_scope::other_cells);
        first.merge(from_second, now, report_scope::other_cells);
    }
    CHECK(messages <= 2 * options.report_copies);
}

// Guards against copies that are lost at once and push out the crashes in sequence before them.
TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, many copies are lost at once, keeps the crashes in sequence") {
    crash(first, request);
    crash(first, request);
    const auto sent = now;
    now = now + millis{10};
    for (std::uint32_t n = 0; n < 30; ++n) {
        first.on_lost(request, {.upstream = 100 + n, .run = 1, .sent_at = sent, .lost_at = now + millis{n}},
                      now);
    }
    CHECK(action(first) == action_kind::refuse);
}

// Guards against reports of a deadly request that wait behind those of a lost failure domain.
TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, many suspects with one crash, are reported for a limited time") {
    for (std::uint64_t n = 100; n < 200; ++n) {
        crash(first, n, millis{});
    }
    crash(first, request);
    crash(first, request);
    now = now + options.evidence_time;
    const auto reports = first.take_changes(8, now);
    CHECK(reports.size() == 8);
    CHECK(reports.front().fingerprint == request);
    now = now + options.single_report_time;
    CHECK(first.take_changes(100, now).size() == 1);
}

// Guards against a node that never hears of some refused requests because there are more than fit a message.
TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, more refused requests than fit a message, reports all in turn") {
    for (std::uint64_t n = 1; n <= 20; ++n) {
        for (int times = 0; times < 3; ++times) {
            crash(first, n);
        }
    }
    std::set<std::uint64_t> told;
    for (int message = 0; message < 3; ++message) {
        for (const auto& it : first.refused(8, now)) {
            told.insert(it.fingerprint);
        }
    }
    CHECK(told.size() == 20);
}

// Guards against a node that sends a refused request to upstreams again because it has just started.
TEST_CASE_FIXTURE(suspect_fixture, "suspect_table, node has just started, learns the refused requests") {
    for (int n = 0; n < 3; ++n) {
        crash(first, request);
    }
    crash(first, bystander);
    suspect_table started(options, [](const upstream_loss&) { return false; });
    started.merge(first.refused(8, now), now);
    CHECK(action(started) == action_kind::refuse);
    CHECK(action(started, bystander) == action_kind::run);
}

// Guards against memory that grows with the number of lost connections.
TEST_CASE_FIXTURE(suspect_fixture, "suspect_table, many suspects, is bounded and forgets them") {
    for (std::uint64_t n = 0; n < 3 * options.max_suspects; ++n) {
        first.on_lost(n, {.upstream = 1, .run = 1, .sent_at = now, .lost_at = now}, now);
    }
    CHECK(first.size() == options.max_suspects);
    CHECK(first.untracked() == 2 * options.max_suspects);
    now = now + options.lifetime;
    CHECK(action(first) == action_kind::run);
    CHECK(first.empty());
    for (int n = 0; n < 50; ++n) { // the refusal grows no further than to its limit
        crash(first, request);
    }
    CHECK(first.check(request, now + options.evidence_time).retry_after <= options.max_refusal);
}

// Guards against identities that are equal when their fields are joined, and against one that ignores a
// Guards against a culprit that goes on to crash upstreams, or an innocent request that is refused, when
// reports are lost, late or repeated.
TEST_CASE("suspect_table, reports lost and late, the culprit is contained and no innocent is refused") {
    constexpr int seeds = 200;
    constexpr std::size_t node_count = 5;
    constexpr std::uint64_t culprit = 1;
    constexpr double loss = 0.2;
    const suspect_table::options options;
    for (int seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        seeded_random random(static_cast<std::uint64_t>(seed));
        std::vector<std::unique_ptr<suspect_table>> nodes;
        for (std::size_t n = 0; n < node_count; ++n) {
            nodes.push_back(
                std::make_unique<suspect_table>(options, [](const upstream_loss&) { return false; }));
        }
        instant now{millis{1000}};
        int crashes = 0;
        int innocent_refusals = 0;
        std::vector<suspect_report> late;
        for (int round = 0; round < 40; ++round) {
            now = now + millis{500};
            auto& at = *nodes[random.below(node_count)];
            const std::uint64_t innocent = 2 + random.below(4);
            innocent_refusals += at.check(innocent, now).action == action_kind::refuse ? 1 : 0;
            if (at.check(culprit, now).action != action_kind::refuse) {
                const upstream_loss it{.upstream = static_cast<std::uint32_t>(++crashes),
                                       .run = 1,
                                       .sent_at = now,
                                       .lost_at = now + millis{2}};
                at.on_lost(culprit, it, now + millis{2});
                at.on_lost(innocent, it, now + millis{2});
            }
            for (std::uint64_t other = 2; other < 6; ++other) { // popular requests succeed all the time
                nodes[random.below(node_count)]->on_success(other, now + millis{3});
                nodes[random.below(node_count)]->on_success(other, now + millis{4});
            }
            for (int copy = 0; copy < 3; ++copy) { // messages between two copies of the request
                now = now + millis{25};
                for (auto& from : nodes) {
                    auto reports = from->take_changes(8, now);
                    for (auto& to : nodes) {
                        if (to != from && random.unit() >= loss) {
                            to->merge(reports, now);
                        }
                    }
                    late.insert(late.end(), reports.begin(), reports.end());
                }
                nodes[random.below(node_count)]->merge(late, now);
            }
        }
        CHECK(crashes <= 4);
        CHECK(innocent_refusals == 0);
    }
}

} // namespace berylcrank
