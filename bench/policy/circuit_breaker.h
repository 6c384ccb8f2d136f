#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <algorithm>
#include <cstdint>
#include <deque>

namespace berylcrank::bench {

/** A circuit breaker as proposed in "circuit breaker support" (nodivbyzero/try issue 5): rolling window,
   error rate, minimum calls, half-open trials. In the benchmark only, to be compared with the outlier
   handling.
*/
class circuit_breaker {
public:
    enum class state : std::uint8_t { closed, open, half_open };

    struct options {
        millis window{1000};
        double error_rate{0.5};
        std::size_t least_calls{5}; ///< A node sends some 20 requests a second to one upstream.
        millis open_time{500};
        std::uint32_t trials{2};
    };

    explicit circuit_breaker(const options& it) : options_(it) {}

    /** An attempt ended. */
    void on_end(bool is_good, instant now) {
        if (state_ == state::half_open) {
            good_trials_ += is_good ? 1 : 0;
            if (!is_good) {
                open(now);
            } else if (good_trials_ >= options_.trials) {
                state_ = state::closed;
                calls_.clear();
            }
            return;
        }
        calls_.emplace_back(now, is_good);
        while (now - calls_.front().first > options_.window) {
            calls_.pop_front();
        }
        const auto errors = std::ranges::count(calls_, false, [](const auto& it) { return it.second; });
        if (state_ == state::closed && calls_.size() >= options_.least_calls &&
            static_cast<double>(errors) >= options_.error_rate * static_cast<double>(calls_.size())) {
            open(now);
        }
    }

    /** Current state; goes from open to half-open with time. */
    state update(instant now) {
        if (state_ == state::open && now >= half_open_at_) {
            state_ = state::half_open;
            good_trials_ = 0;
        }
        return state_;
    }

    [[nodiscard]] std::uint32_t trials() const { return options_.trials; }

private:
    void open(instant now) {
        state_ = state::open;
        half_open_at_ = now + options_.open_time;
        calls_.clear();
    }

    options options_;
    state state_{state::closed};
    std::deque<std::pair<instant, bool>> calls_;
    instant half_open_at_;
    std::uint32_t good_trials_{0};
};

} // namespace berylcrank::bench
