#pragma once

namespace berylcrank {

/** Bounds retries or hedges to a share of first attempts. Counted in requests, not in time, so that a quiet
    service cannot save up a burst: at most `burst` plus `percent` of the first attempts are ever spent.

    @see service_router
*/
class retry_budget {
public:
    struct options {
        double percent{10}; ///< Spent per hundred first attempts.
        double burst{3};    ///< Balance at start and highest balance.
    };

    explicit retry_budget(const options& it) : options_(it), balance_(it.percent > 0 ? it.burst : 0) {}

    /** A first attempt was made. */
    void on_first_attempt() {
        balance_ += options_.percent / 100.0;
        balance_ = balance_ > options_.burst ? options_.burst : balance_;
    }

    /** Takes one retry from the budget; false if there is none left. */
    bool try_spend() {
        if (options_.percent <= 0 || balance_ < 1) {
            return false;
        }
        balance_ -= 1;
        return true;
    }

    /** Gives back what was spent on a retry that was not sent. */
    void give_back() { balance_ = balance_ + 1 > options_.burst ? options_.burst : balance_ + 1; }

    /** Takes a new share from the configuration. */
    void set_percent(double percent) { options_.percent = percent; }

private:
    options options_;
    double balance_;
};

} // namespace berylcrank
