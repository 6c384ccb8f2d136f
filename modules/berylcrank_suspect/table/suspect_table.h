#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/instant.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace berylcrank {

/** The loss of a connection to an upstream while a request was running on it. */
struct upstream_loss {
    /** An upstream that has crashed takes longer than this to crash again. Times of other nodes are late by
        less, and the losses of one crash are noticed within less. */
    static constexpr millis restart_time{1500};
    /** Closed connections that are at least this far apart were lost in different crashes. Longer than the
       loss of a failure domain takes, and than times of other nodes are late. */
    static constexpr millis separate_crash_time{1000};

    std::uint32_t upstream{0}; ///< Hash of the upstream's id.
    std::uint64_t run{0};      ///< Identifies the run of the upstream between two of its starts.
    instant sent_at;           ///< When the request was sent.
    instant lost_at;
    /** The upstream closed the connection, so that `lost_at` is the time of its crash. A silent upstream may
        have crashed at any time since the send. */
    bool closed{false};

    /** Returns true if both are the same loss or were lost in the same crash. `run` alone does not tell: it
        comes from the registration, which may arrive after the upstream has started again. */
    [[nodiscard]] bool same_crash(const upstream_loss& other) const {
        const auto apart = lost_at > other.lost_at ? lost_at - other.lost_at : other.lost_at - lost_at;
        return upstream == other.upstream && run == other.run && apart < restart_time;
    }

    /** Returns true if the request has crashed another upstream after that of `previous`: it was sent after
        that crash, or its upstream crashed clearly later. Copies of a request that crashes upstreams late in
        its run overlap. */
    [[nodiscard]] bool follows(const upstream_loss& previous) const {
        return sent_at >= previous.lost_at ||
               (closed && previous.closed && lost_at >= previous.lost_at + separate_crash_time);
    }

    bool operator==(const upstream_loss&) const = default;
};

/** What a node knows about one suspect, for the other nodes. */
struct suspect_report {
    std::uint64_t fingerprint{0};
    std::optional<instant> cleared_at;    ///< Time of the last successful response, if any.
    std::optional<instant> trial_started; ///< A trial of it is running at the sender.
    std::vector<upstream_loss> losses;

    /** Returns the report with all instants moved by `offset`, e.g. to make them relative to a message. */
    [[nodiscard]] suspect_report shifted(millis offset) const;

    bool operator==(const suspect_report&) const = default;
};

/** How to handle a request. @see suspect_table::check */
struct suspect_verdict {
    enum class action_kind : std::uint8_t {
        run,    ///< Not known to crash upstreams.
        trial,  ///< Send it once, without retries, to learn whether it still crashes upstreams. End the trial
                ///< with one of the events.
        refuse, ///< It crashes upstreams: refuse it as not run.
    };
    action_kind action{action_kind::run};
    millis retry_after; ///< Set for `refuse`.
};

/** Receivers of reports. In a large deployment, the nodes of a cell exchange messages many times per second;
   a change spreads to other cells over nodes drawn at random. */
enum class report_scope : std::uint8_t {
    cell,        ///< All nodes of the own cell.
    other_cells, ///< Some nodes of other cells.
};

/** Recognizes requests that crash each upstream that runs them, by fingerprint.

    Many innocent requests are in flight when an upstream crashes, and some of them repeatedly: popular ones,
    or all requests to a lost failure domain. Such a request is told apart by three properties:
    - A crash counts only if it follows the previous crash that counts (upstream_loss::follows). The loss of
      many upstreams at once, and of many copies of a request, therefore counts once.
    - A successful response clears the suspect at all nodes.
    - A lost connection does not count if the upstream responds to anything afterwards in the same run.

    A request that has crashed `crashes_to_refuse` upstreams in sequence is refused, then tried once after
    `refusal`, which doubles with each further crash. Suspects are forgotten some time after their last crash.

    Nodes exchange reports. Merging is idempotent and independent of the order of the reports. A node that has
    just started learns the suspects from the others. Thread-safe.
    @see request_suspicion
*/
class suspect_table {
public:
    struct options {
        /** Crashes in sequence after which a request is refused. Two can come upon a popular request that is
            innocent, by unrelated crashes or lost responses. */
        std::uint32_t crashes_to_refuse{3};
        millis refusal{60000};       ///< Duration of the first refusal.
        millis max_refusal{3600000}; ///< Upper bound of the doubled duration.
        /** Time after a refusal before this node starts a trial. It differs between nodes, since all of them
            would otherwise try the next copies before they hear of each other's trials. */
        millis trial_delay{};
        millis lifetime{120000};     ///< A suspect is forgotten this time after its last crash or
                                     ///< the end of its refusal.
        millis trial_timeout{30000}; ///< A trial without an outcome is abandoned after this time.
        /** Time after a loss in which the upstream may still show that it runs. A refusal that depends on
            such a loss asks the caller to return after this time. */
        millis evidence_time{200};
        std::size_t max_suspects{4096}; ///< Requests that exceed it are not tracked.
        int report_copies{3};           ///< Times that a change is reported, because reports can be lost.
        /** Time after its loss in which a suspect with a single crash is reported. The loss of a failure
           domain leaves thousands of them, which must not delay those of several crashes. */
        millis single_report_time{2000};
    };

    /** Returns true if an upstream has responded after a loss, in the same run. */
    using survival_check = std::function<bool(const upstream_loss&)>;

    suspect_table(const options& opts, survival_check has_survived)
        : options_(opts), has_survived_(std::move(has_survived)) {}

    /** Decides how to handle a request. Call before each first send. */
    suspect_verdict check(std::uint64_t fingerprint, instant now);

    /** Returns whether a request that has failed may be sent again without waiting for its caller. It may
        not if one more crash would lead to its refusal. */
    [[nodiscard]] bool allows_retry(std::uint64_t fingerprint);

    /** Records that the connection of a request was lost after the request was sent. Ends its trial. Returns
        the number of crashes in sequence. */
    std::uint32_t on_lost(std::uint64_t fingerprint, const upstream_loss& loss, instant now);

    /** Records a successful response. Clears the suspect and ends its trial. */
    void on_success(std::uint64_t fingerprint, instant now);

    /** Ends a trial that had no outcome, e.g. because the request was not sent. */
    void on_trial_unused(std::uint64_t fingerprint);

    /** Merges the reports of another node. What is new in the reports of another cell is reported again, to
        the own cell and to further ones. */
    void merge(std::span<const suspect_report> reports, instant now,
               report_scope sender = report_scope::cell);

    /** Returns the reports of suspects that have changed, at most `limit`, those of most crashes first. */
    std::vector<suspect_report> take_changes(std::size_t limit, instant now,
                                             report_scope to = report_scope::cell);

    /** Returns the reports of suspects that are refused, at most `limit`, all in turn by repeated calls. They
        are sent periodically, for nodes that have just started. */
    [[nodiscard]] std::vector<suspect_report> refused(std::size_t limit, instant now);

    /** Returns true if there is no suspect, so that no fingerprint needs to be computed. */
    [[nodiscard]] bool empty() const;
    /** Number of suspects. */
    [[nodiscard]] std::size_t size() const;
    /** Number of losses that count against all suspects. */
    [[nodiscard]] std::size_t losses() const;
    /** Times that a suspect was not tracked because the table was full. */
    [[nodiscard]] std::uint64_t untracked() const;
    /** Requests refused so far. */
    [[nodiscard]] std::uint64_t refusals() const;
    /** Requests refused so far whose suspect later proved harmless. */
    [[nodiscard]] std::uint64_t false_refusals() const;

private:
    struct suspect {
        std::vector<upstream_loss> losses; ///< By `lost_at`, at most `max_losses`.
        std::optional<instant> cleared_at;
        std::optional<instant> trial_started;
        std::uint64_t refusals{0};
        std::array<int, 2> copies_left{}; ///< Reports that are still to be sent, by report_scope.
        bool is_shared{false};            ///< Another node may know the suspect.
    };
    using suspect_map = absl::flat_hash_map<std::uint64_t, suspect>;

    suspect_map::iterator find_or_add(std::uint64_t fingerprint, instant now);
    bool add_loss(suspect& it, const upstream_loss& loss);
    static void trim_losses(suspect& it);
    void clear(suspect_map::iterator it, instant when);
    bool merge_trial(suspect& it, const suspect_report& report) const;
    bool merge_report(suspect_map::iterator at, const suspect_report& report);
    void mark_changed(suspect& it) const;
    void drop_survived(suspect& it) const;
    void expire(instant now);
    [[nodiscard]] instant forget_at(const suspect& it) const;
    [[nodiscard]] millis refusal_after(std::uint32_t crashes) const;
    [[nodiscard]] bool is_worth_reporting(const suspect& it, instant now) const;
    [[nodiscard]] static std::uint32_t crashes_in_sequence(const suspect& it);
    [[nodiscard]] static suspect_report make_report(std::uint64_t fingerprint, const suspect& it);

    options options_;
    survival_check has_survived_;
    mutable mutex mutex_;
    suspect_map suspects_;
    std::uint64_t last_refused_{0}; ///< The last fingerprint that `refused` returned.
    std::uint64_t untracked_{0};
    std::uint64_t refusals_{0};
    std::uint64_t false_refusals_{0};
    instant next_expiry_;
};

} // namespace berylcrank
