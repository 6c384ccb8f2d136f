#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_membership/message/gossip_message.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace berylcrank {

/** How to handle a request that may crash upstreams. @see suspect_table::check */
struct suspect_verdict {
    enum class action_kind : std::uint8_t {
        run,       ///< Not a suspect.
        run_alone, ///< A trial: send it to an upstream that has no other request of this node. End the trial
                   ///< with one of the events.
        wait,      ///< A trial of the same request is running at this node: check again when it ends.
        relay,     ///< Only `owner` may try it: relay the request to that node, or refuse it as not run.
        refuse,    ///< It crashed two upstreams: refuse it as not run.
    };
    action_kind action{action_kind::run};
    incarnation owner;  ///< Set for `relay`.
    millis retry_after; ///< Set for `refuse`: time until a further trial is allowed.
};

/** Attributes crashes of upstreams to the requests that cause them, by fingerprint (hash of method, path
    and body).

    A request whose connection is lost becomes a suspect. Only one node, its owner, may try a suspect again:
    the reporter of the crash, or the reporter with the lowest incarnation if there are several. The owner
    runs one copy at a time, in a trial without other requests of that node at the upstream. So a suspect
    never runs on two upstreams at once, and the nodes need no agreement on membership. A crash during a
    trial is attributed to the suspect: the suspect is refused for some time, and the other suspects of the
    same crash are cleared. A successful response clears a suspect.

    A request with a recent successful response does not become a suspect at its first crash, because
    popular requests are often in flight when another request crashes an upstream. Lost connections of
    suspects outside trials are ignored, because the loss of a failure domain breaks many copies of a
    request at once.

    In a crash report, `in_flight` is 0 to clear the suspect, 1 for a crash in a trial, and at least 2 for
    any other crash. Thread-safe.
    @see crash_report
*/
class suspect_table {
public:
    struct options {
        incarnation self;
        millis suspect_lifetime{120000}; ///< A suspect is dropped this time after its last crash.
        millis refusal{60000};           ///< Duration for which a request is refused after its second crash.
        millis success_lifetime{10000};  ///< A success protects from the first suspicion for this time.
        millis trial_timeout{30000};     ///< A trial without an outcome is abandoned after this time.
        millis crash_window{1000}; ///< Connections lost within this time belong to the same crash, if the
                                   ///< upstream's incarnation is unknown.
        std::size_t max_suspects{10000}; ///< The oldest suspect is evicted when the table is full.
        std::size_t max_successes{16384};
    };

    explicit suspect_table(const options& opts) : options_(opts) {}

    /** Decides how to handle a request. Call before each dispatch. */
    suspect_verdict check(std::uint64_t fingerprint, instant now);

    /** Records a successful response. Returns the report to send to all peers if it clears a suspect. */
    std::optional<crash_report> on_success(std::uint64_t fingerprint, instant now);

    /** Ends a trial that got no response and lost no connection, e.g. because it was not sent. */
    void on_trial_unused(std::uint64_t fingerprint);

    /** Records that the connection of a request was lost after the request was sent.
        @param upstream_incarnation Empty if unknown.
        @param in_flight Requests of this node at the upstream, this one included.
        @return The report to send to all peers at once, if any. */
    std::optional<crash_report> on_connection_lost(std::uint64_t fingerprint, std::string_view upstream,
                                                   std::string_view upstream_incarnation,
                                                   std::uint32_t in_flight, instant now);

    /** Merges reports of a peer. Duplicates and any order are allowed. A report with `in_flight` 0 clears
        the fingerprint. */
    void merge(std::span<const crash_report> reports, instant now);

    /** Handles the end of a node: drops the suspects that only that node may try. Refused ones stay. */
    void on_gone(incarnation node);

    /** Recent crash reports of this node, at most `limit`. They are gossiped for peers that missed the
        direct message. */
    [[nodiscard]] std::vector<crash_report> recent_crash_reports(std::size_t limit, instant now) const;

    /** Number of suspects, refused ones included. */
    [[nodiscard]] std::size_t size() const;

private:
    struct suspect {
        // Keys of the crashes that it was in flight for, at most `max_crashes`.
        std::vector<std::uint64_t> crashes;
        crash_report own_report; ///< Last report by this node; its reporter is not set if there is none.
        incarnation owner;
        std::uint32_t trial_crashes{0};
        bool is_in_trial{false};
        instant trial_started;
        instant refused_until;
        instant last_crash;
    };
    struct crash_record {
        instant at;
        bool is_attributed{false};               ///< Attributed to a suspect by its trial.
        std::vector<std::uint64_t> fingerprints; ///< Requests reported for it.
        std::vector<std::uint64_t> cleared;      ///< Requests that succeeded since: old reports are ignored.
    };

    void apply(const crash_report& report, instant now);
    void clear(std::uint64_t fingerprint);
    void attribute_crash(std::uint64_t crash, std::uint64_t culprit);
    void expire(instant now);
    [[nodiscard]] bool has_recent_success(std::uint64_t fingerprint, instant now) const;
    std::uint64_t record_crash(const crash_report& report, instant now);
    void evict_if_full();

    options options_;
    mutable mutex mutex_;
    absl::flat_hash_map<std::uint64_t, suspect> suspects_;
    absl::flat_hash_map<std::uint64_t, crash_record> crashes_;
    // By upstream, for losses without an incarnation: time of the last loss, number of the crash.
    absl::flat_hash_map<std::string, std::pair<instant, std::uint64_t>> unidentified_crashes_;
    absl::flat_hash_map<std::uint64_t, instant> successes_;
    instant next_expiry_;
};

} // namespace berylcrank
