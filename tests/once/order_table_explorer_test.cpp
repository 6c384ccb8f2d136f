#include "modules/berylcrank_core/berylcrank_core.h"
#include "modules/berylcrank_once/berylcrank_once.h"

#include <doctest/doctest.h>

#include <array>

namespace berylcrank {

namespace {

/** Random steps on a small table, by a few ids, with times that may lag, as read by paused threads. */
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
    struct tracked {
        request_id id;
        bool admitted{false};
        bool sent{false};
        bool proven_not_run{false}; ///< The attempt that was sent was shed.
        bool told_not_run{false};
        int executions{0};
        std::uint32_t attempt{0};
    };

    void told(tracked& it, run_verdict verdict) {
        it.told_not_run = it.told_not_run || verdict == run_verdict::not_run;
        REQUIRE_FALSE((it.told_not_run && it.executions > 0));
        REQUIRE_FALSE((verdict == run_verdict::ran && it.executions != 1));
    }

    void admit(tracked& it, instant now) {
        const auto result = table_.admit(it.id, {}, now_ + millis{200}, now,
                                         [this, &it](const shared_response& a) { told(it, a->verdict); });
        switch (result.admission) {
        case order_admission::run:
            REQUIRE_FALSE(it.admitted);
            it.admitted = true;
            break;
        case order_admission::recorded:
            told(it, result.response->verdict);
            break;
        case order_admission::full:
            told(it, run_verdict::not_run);
            break;
        default:
            break;
        }
    }

    void dispatch(tracked& it, instant now) {
        if (const auto attempt = table_.begin_dispatch(it.id, now)) {
            REQUIRE_FALSE(it.told_not_run);
            it.attempt = *attempt;
            it.sent = true;
            it.proven_not_run = random_.below(3) == 0;
            it.executions += it.proven_not_run ? 0 : 1;
            REQUIRE(it.executions <= 1);
        }
    }

    seeded_random random_;
    order_table table_{{.shards = 1, .max_entries = 3, .lifetime = millis{900}}};
    std::array<tracked, 6> ids_;
    instant now_;
};

} // namespace

// Guards against an order of steps that leads to a second run or to a false "not run".
TEST_CASE("order_table, random steps with lagging times, each id runs at most once and not-run stays true") {
    for (std::uint64_t seed = 1; seed <= 20000; ++seed) {
        CAPTURE(seed);
        table_explorer it(seed);
        for (int n = 0; n < 120; ++n) {
            it.step();
        }
    }
}

} // namespace berylcrank
