#include "tests/config/state_fixture.h"

#include <doctest/doctest.h>

namespace berylcrank {

using namespace testing;

namespace {

/** A state that applied a random prefix of a log. With `gaps` it skips some records. */
config_state random_state(random_source& random, const std::vector<std::string>& log, bool gaps) {
    config_state state;
    const auto end = random.below(log.size() + 1);
    while (state.applied() < end) {
        if (gaps && random.below(8) == 0) {
            state.skip_to(state.applied() + 1 + random.below(4));
        }
        if (state.applied() < log.size()) {
            state.apply(state.applied(), log[state.applied()]);
        }
    }
    return state;
}

config_state merged(const config_state& a, const config_state& b) {
    config_state out;
    out.merge(a.content(), true);
    out.merge(b.content(), true);
    return out;
}

std::string describe_state(const config_state& state) {
    const auto& covered = state.content().covered;
    return describe_contents(state) + "covered " + std::to_string(covered.contiguous_end) + " " +
           std::to_string(covered.end);
}

} // namespace

// Guards against snapshots and deltas whose effect depends on their arrival order.
TEST_CASE("merge, any three states without a gap, is commutative, associative and idempotent") {
    for (std::uint64_t seed = 1; seed <= seed_count(200); ++seed) {
        CAPTURE(seed);
        seeded_random random(seed);
        const auto log = random_log(random, 40);
        const auto a = random_state(random, log, false);
        const auto b = random_state(random, log, false);
        const auto c = random_state(random, log, false);
        REQUIRE(describe_state(merged(a, b)) == describe_state(merged(b, a)));
        REQUIRE(describe_state(merged(merged(a, b), c)) == describe_state(merged(a, merged(b, c))));
        REQUIRE(describe_state(merged(a, a)) == describe_state(a));
    }
}

// Guards against nodes that do not converge after some of them missed records, or that change the state of a
// node that missed none.
TEST_CASE("merge, states with a gap, converge and do not change a longer state without a gap") {
    for (std::uint64_t seed = 1; seed <= seed_count(200); ++seed) {
        CAPTURE(seed);
        seeded_random random(seed);
        const auto log = random_log(random, 40);
        std::vector<config_state> nodes;
        for (int n = 0; n < 4; ++n) {
            nodes.push_back(random_state(random, log, true));
        }
        REQUIRE(describe_state(merged(nodes[0], nodes[1])) == describe_state(merged(nodes[1], nodes[0])));
        REQUIRE(describe_state(merged(nodes[0], nodes[0])) == describe_state(nodes[0]));
        config_state complete;
        apply_to(complete, log, log.size());
        if (nodes[0].applied() <= complete.applied()) {
            REQUIRE(describe_state(merged(complete, nodes[0])) == describe_state(complete));
        }
        const auto have_diverged = [&] {
            return std::any_of(nodes.begin(), nodes.end(), [&](const auto& node) {
                return describe_state(node) != describe_state(nodes[0]);
            });
        };
        for (int exchanges = 0; have_diverged(); ++exchanges) {
            REQUIRE(exchanges < 200);
            const auto from = random.below(nodes.size());
            nodes[random.below(nodes.size())].merge(nodes[from].content(), true);
        }
    }
}

// Guards against nodes that differ because they started from different snapshots or deltas, and
// against a node that reverts to an older state when an old snapshot is appended again.
TEST_CASE("config_state, started from any snapshot, equals a replay from the start") {
    for (std::uint64_t seed = 1; seed <= seed_count(40); ++seed) {
        CAPTURE(seed);
        seeded_random random(seed);
        auto log = random_log(random, 60);
        // Inserts snapshots of earlier offsets among the tickets.
        for (int n = 0; n < 3; ++n) {
            const auto at = 1 + random.below(log.size() - 1);
            config_state writer;
            apply_to(writer, log, random.below(at) + 1);
            const auto parts =
                split_snapshot(encode_content(writer.content()), writer.applied(), random.next());
            log.insert(log.begin() + static_cast<std::ptrdiff_t>(at), parts.begin(), parts.end());
        }
        config_state complete;
        apply_to(complete, log, log.size());
        for (std::size_t start = 1; start <= log.size(); start += 1 + random.below(10)) {
            config_state writer;
            apply_to(writer, log, start);
            const auto content = decode_content(encode_content(writer.content()));
            REQUIRE(content.has_value());
            config_state reader;
            REQUIRE(reader.merge(*content, false));
            REQUIRE(reader.applied() == start);
            REQUIRE(describe_contents(reader) == describe_contents(writer));
            apply_to(reader, log, log.size());
            REQUIRE(describe_contents(reader) == describe_contents(complete));
            const auto delta = decode_content(encode_delta(complete.content(), writer.applied()));
            REQUIRE(delta.has_value());
            REQUIRE(writer.merge(*delta, false));
            REQUIRE(describe_contents(writer) == describe_contents(complete));
        }
    }
}

// Guards against a node that never recovers records that its peers still have.
TEST_CASE("config_state, delta from a peer closes the gap, equals a state without a gap") {
    for (std::uint64_t seed = 1; seed <= seed_count(40); ++seed) {
        CAPTURE(seed);
        seeded_random random(seed);
        const auto log = random_log(random, 40);
        config_state complete;
        apply_to(complete, log, log.size());
        config_state reader;
        apply_to(reader, log, random.below(20));
        const auto gap_start = reader.applied();
        reader.skip_to(gap_start + 1 + random.below(10));
        REQUIRE(reader.counters().gaps == 1);
        REQUIRE(reader.first_missing() == gap_start);
        const auto delta = decode_content(encode_delta(complete.content(), reader.first_missing()));
        REQUIRE(delta.has_value());
        REQUIRE(reader.merge(*delta, false));
        REQUIRE_FALSE(reader.content().covered.has_gap());
        REQUIRE(describe_contents(reader) == describe_contents(complete));
    }
}

// Guards against a delta that skips records which the log still has.
TEST_CASE("config_state, delta that starts above the applied offset, is refused") {
    seeded_random random(1);
    const auto log = random_log(random, 30);
    config_state peer;
    apply_to(peer, log, 30);
    config_state reader;
    apply_to(reader, log, 10);
    const auto delta = decode_content(encode_delta(peer.content(), 20));
    REQUIRE(delta.has_value());
    CHECK_FALSE(reader.merge(*delta, false));
    CHECK(reader.applied() == 10);
}

// Guards against snapshots that are mixed up or never complete when several nodes write at the same time.
TEST_CASE("snapshot_collector, interleaved, repeated and missing parts, completes only full snapshots") {
    snapshot_collector subject;
    const auto part = [&](std::uint64_t id, std::uint16_t index, std::uint64_t offset) {
        return subject.add(
            {.id = id, .index = index, .count = 3, .applied = 5, .content = std::to_string(index)}, offset,
            true);
    };
    CHECK_FALSE(part(1, 0, 10).has_value());
    CHECK_FALSE(part(2, 2, 11).has_value());
    CHECK_FALSE(part(1, 0, 12).has_value());
    CHECK_FALSE(part(1, 2, 13).has_value());
    CHECK_FALSE(part(2, 0, 14).has_value());
    CHECK_FALSE(subject.newest().has_value());
    CHECK(part(1, 1, 15) == "012");
    REQUIRE(subject.newest().has_value());
    CHECK(subject.newest()->first_offset == 10);
    CHECK(subject.newest()->last_offset == 15);
}

} // namespace berylcrank
