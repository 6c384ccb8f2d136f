#pragma once

#include "modules/berylcrank_balance/usage/usage_holder.h"

#include <absl/container/flat_hash_map.h>
#include <span>
#include <vector>

namespace berylcrank {

/** Lends this node's part of all accounts' caps to holders.

    The part is 1/n of each cap, with the number n of nodes. Each of its portions is lent to one holder at a
    time: it moves only after the last loan has ended. So nodes that disagree on the holders lend to different
    ones, which costs tokens but never exceeds a cap.
    @see usage_holder
*/
class usage_owner {
public:
    /** Interval between pledges. A loan survives the loss of one of them. */
    static constexpr millis pledge_interval{400};
    /** Time without an acknowledgement after which a node is not used as a holder. */
    static constexpr millis response_timeout{1200};
    /** Time without an acknowledgement after which another node is a holder instead. */
    static constexpr millis replacement_time{3000};
    /** Added to the time for which a loan is taken to hold, for the drift between two clocks. */
    static constexpr millis clock_margin{20};
    /** Number of nodes that hold the caps of all nodes. */
    static constexpr std::size_t max_holders = 4;
    /** Largest number of candidates. */
    static constexpr std::size_t max_candidates = 16;

    /** `self` and `run` are the number and the incarnation of this node. Until `start` +
        `usage_holder::pledge_lifetime`, or until all candidates have responded, loans of an earlier start of
        the node may hold. */
    usage_owner(std::uint64_t self, std::uint64_t run, usage_holder& holder, instant start);

    /** Sets the nodes that may hold caps, the preferred ones first; the same at all nodes with the same view.
        Only the first `max_candidates` count. This node holds its own part if no other node responds. */
    void set_candidates(std::span<const std::uint64_t> numbers);

    /** Sends pledges if they are due. Call this periodically. */
    void tick(usage_transport& transport, instant now);

    /** Handles the acknowledgement of a holder with the incarnation `run`. */
    void on_acknowledgement(std::uint64_t holder, std::uint64_t run, const usage_acknowledgement& it,
                            instant now);

    /** Returns the holders of a group of accounts, one per portion without duplicates; this node if no other
        one responds. */
    [[nodiscard]] std::vector<std::uint64_t> holders(std::size_t group, instant now) const;

    /** Returns whether this node has lent its part since its start. */
    [[nodiscard]] bool has_lent() const { return has_lent_; }

    /** Returns the number of nodes, this one included, that may hold caps and respond. */
    [[nodiscard]] std::size_t usable_count(instant now) const;

    /** Returns whether a node responds to pledges. */
    [[nodiscard]] bool is_usable(std::uint64_t number, instant now) const;

private:
    struct candidate {
        std::uint64_t run{0};
        std::int64_t stamp{0};
        std::optional<instant> contacted;    // first
        std::optional<instant> acknowledged; // when the acknowledgement with `stamp` arrived
        bool stopping{false};
    };

    struct portion {
        std::uint64_t holder{0}; // 0 if it is not lent
        instant lent_until;
    };

    [[nodiscard]] static std::uint64_t rank(std::uint64_t number, std::size_t group);
    /** Returns the first `max_holders` candidates that respond or have not been silent for long. */
    [[nodiscard]] std::vector<std::uint64_t> preferred(instant now) const;
    void assign(instant now);
    void end_former_loans(instant now);
    void send_pledge(std::uint64_t to, usage_transport& transport, instant now);

    std::uint64_t self_;
    std::uint64_t run_;
    usage_holder& holder_;
    std::vector<std::uint64_t> order_; // of the candidates, the preferred ones first
    absl::flat_hash_map<std::uint64_t, candidate> candidates_;
    std::array<std::array<portion, usage_portion_count>, usage_group_count> portions_;
    instant next_pledge_;
    bool has_lent_{false};
};

} // namespace berylcrank
