#pragma once

namespace berylcrank {

/** Limits retries or hedges to a share of the first attempts, with a token bucket.

    The bucket is filled by first attempts and not by time, so an idle service does not accumulate a burst.
    Over any period at most `burst` tokens plus `percent` of the first attempts are spent.
    @see service_router
*/
class retry_budget {
public:
    struct options {
        double percent{10}; ///< Tokens added per hundred first attempts.
        double burst{3};    ///< Initial and maximum number of tokens.
    };

    explicit retry_budget(const options& opts) : options_(opts), tokens_(opts.percent > 0 ? opts.burst : 0) {}

    /** Records a first attempt. */
    void on_first_attempt() {
        tokens_ += options_.percent / 100.0;
        tokens_ = tokens_ > options_.burst ? options_.burst : tokens_;
    }

    /** Takes one token; false if there is none. */
    bool try_spend() {
        if (options_.percent <= 0 || tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

    /** Returns the token of a retry that was not sent. */
    void refund() { tokens_ = tokens_ + 1 > options_.burst ? options_.burst : tokens_ + 1; }

    /** Changes the share; the tokens stay. */
    void set_percent(double percent) { options_.percent = percent; }

private:
    options options_;
    double tokens_;
};

} // namespace berylcrank
