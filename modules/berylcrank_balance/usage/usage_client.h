#pragma once

#include "modules/berylcrank_balance/usage/usage_owner.h"

#include <functional>
#include <optional>

namespace berylcrank {

/** Allows one run of a request of an account. */
struct usage_token {
    instant valid_until; ///< A request must be sent to its upstream earlier.
};

/** Result of a request for a token. */
struct usage_decision {
    std::optional<usage_token> token;
    bool over_limit{false}; ///< Without a token: the account has used up its cap. False: no holder responds.
    millis wait;            ///< Without a token: until one can be expected.
};

/** Requests tokens for the requests of this node from the holders of the accounts' caps.

    @see usage_holder
*/
class usage_client {
public:
    using callback = std::function<void(const usage_decision&)>;

    /** Time after which another holder is asked. */
    static constexpr millis response_timeout{60};
    /** Longest time for which a request waits for the next token of its account. If it takes longer, the
        request is refused at once. */
    static constexpr millis max_token_wait{60};
    /** Time after a refusal in which an account counts as over its limit. */
    static constexpr millis refusal_memory{100};
    /** Largest number of requests without a decision. Further ones get no token. */
    static constexpr std::size_t max_pending = 8192;
    /** Largest number of accounts whose refusals are remembered. */
    static constexpr std::size_t max_remembered = 8192;

    /** Counts since the start. */
    struct counters {
        std::uint64_t granted{0};
        std::uint64_t over_limit{0};
        std::uint64_t no_holder{0}; ///< No holder responded in time.
        std::uint64_t retried{0};   ///< Asked of another holder after response_timeout.
    };

    usage_client(std::uint64_t self, std::uint64_t run, usage_tolerance tolerance, usage_owner& owner,
                 usage_holder& holder, std::uint64_t first_id)
        : self_(self), run_(run), tolerance_(tolerance), owner_(owner), holder_(holder), next_id_(first_id) {}

    /** Requests a token. Calls `done` once, within the call if this node decides itself. Gives up after
        `patience`. */
    void request(std::uint64_t account, const usage_limits& limits, std::uint64_t version, millis patience,
                 callback done, usage_transport& transport, instant now);

    /** Handles the response of a holder. */
    void on_response(const usage_response& it, usage_transport& transport, instant now);

    /** Asks further holders and gives up requests whose time has passed. Call this periodically. */
    void tick(usage_transport& transport, instant now);

    /** Returns whether a holder has recently refused a token for the account, and so the time until one can
       be expected. */
    [[nodiscard]] std::optional<millis> refused_recently(std::uint64_t account, instant now) const;

    [[nodiscard]] const counters& counts() const { return counts_; }
    [[nodiscard]] std::size_t pending() const { return pending_.size(); }

private:
    struct pending_request {
        usage_request request;
        callback done;
        instant give_up_at;
        std::uint64_t holder{0};     // that was asked last
        bool awaits_response{false}; // from `holder`
        instant sent_at;
        instant ask_at;         // earliest time of the next try
        std::uint64_t turn{0};  // of the holders; increases with each one that is asked
        int refusals{0};        // by holders with a part of the cap, since all were last asked
        millis wait;            // the shortest one of these refusals
        bool over_limit{false}; // all holders have refused
    };

    /** Time for which a holder that has not responded is asked after the others. */
    static constexpr millis avoidance_time{300};

    struct refusal {
        instant until;
        instant token_at;
    };

    [[nodiscard]] std::uint64_t next_holder(pending_request& it, instant now);
    void ask(std::uint64_t id, usage_transport& transport, instant now);
    void on_refusal(std::uint64_t id, const usage_response& it, usage_transport& transport, instant now);
    void ask_again(std::uint64_t id, usage_transport& transport, instant now);
    void finish(std::uint64_t id, const usage_decision& decision);

    std::uint64_t self_;
    std::uint64_t run_;
    usage_tolerance tolerance_;
    usage_owner& owner_;
    usage_holder& holder_;
    std::uint64_t next_id_;
    absl::flat_hash_map<std::uint64_t, pending_request> pending_;
    absl::flat_hash_map<std::uint64_t, refusal> refusals_;      // by account
    absl::flat_hash_map<std::uint64_t, instant> avoided_until_; // holders that have not responded
    counters counts_;
};

} // namespace berylcrank
