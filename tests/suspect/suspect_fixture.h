#pragma once

#include "modules/berylcrank_suspect/berylcrank_suspect.h"

#include <set>
#include <utility>

namespace berylcrank::testing {

/** Two nodes that exchange all their reports with `exchange_reports`. */
struct suspect_fixture {
    static constexpr std::uint64_t request = 42;
    static constexpr std::uint64_t bystander = 43;

    std::set<std::pair<std::uint32_t, std::uint64_t>> survivors;
    suspect_table::options options;
    suspect_table first{options, [this](const upstream_loss& it) { return has_survived(it); }};
    suspect_table second{options, [this](const upstream_loss& it) { return has_survived(it); }};
    instant now{millis{1000}};
    std::uint32_t next_upstream{1};

    [[nodiscard]] bool has_survived(const upstream_loss& it) const {
        return survivors.contains({it.upstream, it.run});
    }

    // Sends a request to an upstream that has not been used yet, which crashes after `duration`.
    void crash(suspect_table& at, std::uint64_t fingerprint, millis duration = millis{5}) {
        const auto sent = now;
        now = now + duration;
        at.on_lost(fingerprint, {.upstream = next_upstream++, .run = 1, .sent_at = sent, .lost_at = now},
                   now);
    }

    void exchange_reports() {
        const auto from_first = first.take_changes(100, now);
        const auto from_second = second.take_changes(100, now);
        second.merge(from_first, now);
        first.merge(from_second, now);
    }

    // The same request from the caller number `caller`.
    static request_fingerprints caller_request(std::uint64_t caller) {
        return {.of_caller = 1000 + caller, .of_request = request};
    }

    void crash(suspect_table& at, const request_fingerprints& fingerprints) {
        const auto sent = now;
        now = now + millis{5};
        request_suspicion(at, fingerprints)
            .on_lost({.upstream = next_upstream++, .run = 1, .sent_at = sent, .lost_at = now}, now);
    }

    suspect_verdict::action_kind action(suspect_table& at, const request_fingerprints& fingerprints) {
        return request_suspicion(at, fingerprints).check(now).action;
    }

    suspect_verdict::action_kind action(suspect_table& at, std::uint64_t fingerprint = request) {
        return at.check(fingerprint, now).action;
    }
};

} // namespace berylcrank::testing
