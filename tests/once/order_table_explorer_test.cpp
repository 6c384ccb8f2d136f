#include "modules/berylcrank_core/berylcrank_core.h"
#include "modules/berylcrank_once/berylcrank_once.h"

#include <doctest/doctest.h>

#include <array>

namespace berylcrank {

namespace {

/** Performs random operations with a few ids on a small table. Some calls pass a time that lags behind, as a
    thread does that was paused after it read the clock. */
class table_explorer {
public:
    explicit table_explorer(std::uint64_t seed) : random_(seed) {
        for (std::uint64_t n = 0; n < ids_.size(); ++n) {
            ids_[n].id = {
                .home = {1}, .minted = instant{millis{static_cast<std::int64_t>(n * 300)}}, .serial = n};
        }
    }

    void step() {
        auto& it = ids_[random_.below(ids_.size())];
        now_ = now_ + millis{static_cast<std::int64_t>(random_.below(40))};
        const auto lagging = now_ - millis{static_cast<std::int64_t>(random_.below(1500))};
        switch (random_.below(7)) {
        case 0:
        case 1:
            admit(it, random_.below(2) == 0 ? now_ : lagging);
            break;
        case 2:
            dispatch(it, random_.below(2) == 0 ? now_ : lagging);
            break;
        case 3:
            if (it.sent && it.proven_not_run) {
                it.sent = !table_.attempt_not_run(it.id, it.attempt);
            }
            break;
        case 4:
            if (it.sent && !it.proven_not_run) {
                table_.finish(
                    it.id, it.attempt,
                    {.verdict = random_.below(2) == 0 ? run_verdict::ran : run_verdict::may_have_run});
            }
            break;
        case 5:
            table_.refuse(it.id, {});
            break;
        default:
            table_.tick(now_);
        }
    }

private:
    struct tracked_id {
        request_id id;
        bool admitted{false};
        bool sent{false};
        bool proven_not_run{false}; ///< The upstream shed the current attempt, so it did not run.
        bool reported_not_run{false};
        int executions{0};
        std::uint32_t attempt{0};
    };

    void check_verdict(tracked_id& it, run_verdict verdict) {
        it.reported_not_run = it.reported_not_run || verdict == run_verdict::not_run;
        REQUIRE_FALSE((it.reported_not_run && it.executions > 0));
        REQUIRE_FALSE((verdict == run_verdict::ran && it.executions != 1));
    }

    void admit(tracked_id& it, instant now) {
        const auto result =
            table_.admit(it.id, {}, now_ + millis{200}, now, [this, &it](const shared_response& response) {
                check_verdict(it, response->verdict);
            });
        switch (result.admission) {
        case order_admission::run:
            REQUIRE_FALSE(it.admitted);
            it.admitted = true;
            break;
        case order_admission::recorded:
            check_verdict(it, result.response->verdict);
            break;
        case order_admission::full:
            check_verdict(it, run_verdict::not_run);
            break;
        default:
            break;
        }
    }

    void dispatch(tracked_id& it, instant now) {
        if (const auto attempt = table_.begin_dispatch(it.id, now)) {
            REQUIRE_FALSE(it.reported_not_run);
            it.attempt = *attempt;
            it.sent = true;
            it.proven_not_run = random_.below(3) == 0;
            it.executions += it.proven_not_run ? 0 : 1;
            REQUIRE(it.executions <= 1);
        }
    }

    seeded_random random_;
    order_table table_{{.shards = 1, .max_entries = 3, .lifetime = millis{900}}};
    std::array<tracked_id, 6> ids_;
    instant now_;
};

} // namespace

// Guards against a sequence of operations after which an order runs twice or is wrongly reported as not run.
TEST_CASE("order_table, random operations with lagging times, keep at-most-once and not-run true") {
    for (std::uint64_t seed = 1; seed <= 20000; ++seed) {
        CAPTURE(seed);
        table_explorer explorer(seed);
        for (int n = 0; n < 120; ++n) {
            explorer.step();
        }
    }
}

} // namespace berylcrank
