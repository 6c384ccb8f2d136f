#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <algorithm>
#include <cstdint>
#include <deque>

namespace berylcrank::bench {

/** A circuit breaker as proposed in "circuit breaker support" (nodivbyzero/try issue 5), with a rolling
    window, an error rate, a minimum number of calls and half-open trials. The benchmark compares it with
    outlier ejection; the program does not use it.
*/
class circuit_breaker {
public:
    enum class state : std::uint8_t { closed, open, half_open };

    struct options {
        millis window{1000};    ///< Age up to which outcomes count.
        double error_rate{0.5}; ///< Share of failed calls in the window at which the breaker opens.
        /** Number of calls in the window below which the breaker does not open. A node sends about 20
            requests per second to one upstream. */
        std::size_t min_calls{5};
        millis open_time{500};             ///< Time from opening to half-open.
        std::uint32_t half_open_trials{2}; ///< Successful trials after which the breaker closes.
    };

    explicit circuit_breaker(const options& opts) : options_(opts) {}

    /** Records the outcome of an attempt. May open or close the breaker. */
    void record(bool is_success, instant now) {
        if (state_ == state::half_open) {
            successful_trials_ += is_success ? 1 : 0;
            if (!is_success) {
                open(now);
            } else if (successful_trials_ >= options_.half_open_trials) {
                state_ = state::closed;
                calls_.clear();
            }
            return;
        }
        calls_.emplace_back(now, is_success);
        while (now - calls_.front().first > options_.window) {
            calls_.pop_front();
        }
        const auto errors = std::ranges::count(calls_, false, [](const auto& call) { return call.second; });
        if (state_ == state::closed && calls_.size() >= options_.min_calls &&
            static_cast<double>(errors) >= options_.error_rate * static_cast<double>(calls_.size())) {
            open(now);
        }
    }

    /** Changes the state from open to half-open if `open_time` has passed. Returns the state. */
    state update(instant now) {
        if (state_ == state::open && now >= half_open_at_) {
            state_ = state::half_open;
            successful_trials_ = 0;
        }
        return state_;
    }

    [[nodiscard]] std::uint32_t half_open_trials() const { return options_.half_open_trials; }

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
    std::uint32_t successful_trials_{0};
};

} // namespace berylcrank::bench
