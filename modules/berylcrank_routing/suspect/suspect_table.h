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

/** What to do with a request. @see suspect_table::check */
struct suspect_verdict {
    enum class action_kind : std::uint8_t {
        run,       ///< Not a suspect.
        run_alone, ///< A trial: the only request of this node at its upstream. End it with one of the events.
        wait,      ///< A trial of it is running here: ask again at its end.
        relay,     ///< Only `owner` may try it: relay the request there, or refuse it as not run.
        refuse,    ///< It crashed two upstreams: refuse it as not run.
    };
    action_kind action{action_kind::run};
    incarnation owner;  ///< With `relay`.
    millis retry_after; ///< With `refuse`: remaining time.
};

/** Attributes crashes of upstreams to requests, by fingerprint (hash of method, path and body).

    A lost connection makes its request a suspect. A suspect is only tried by one node, the reporter of the
   crash (the lowest incarnation if there are several), one copy at a time and alone at its upstream; so it
   never runs on two upstreams at once, without agreement on membership. A crash in a trial is attributed to
   the suspect: it is refused for a while, and others reported for the same crash are cleared of it. A good
   answer clears.

    Requests with a recent good answer are not suspected at their first crash, so that popular requests that
    happen to be in flight are left alone. Losses of suspects outside of trials do not count, because a lost
    failure domain breaks many copies of a request at once.

    In the news, `in_flight` is 0 to clear, 1 for a crash in a trial, and at least 2 otherwise. Thread-safe.
    @see crash_news
*/
class suspect_table {
public:
    struct options {
        incarnation self;
        millis suspicion{120000};  ///< Time after the last crash for which a suspect is remembered.
        millis refusal{60000};     ///< Time for which a request is refused after its second crash.
        millis good_memory{10000}; ///< Time for which a good answer protects from a first suspicion.
        millis trial_limit{30000}; ///< Time after which a trial that never ended is given up.
        millis same_crash{1000}; ///< Losses of an upstream of unknown incarnation within this are one crash.
        std::size_t entries{10000}; ///< Suspects remembered; the oldest go first.
        std::size_t good{16384};    ///< Good answers remembered.
    };

    explicit suspect_table(const options& it) : options_(it) {}

    /** Asked before each dispatch. */
    suspect_verdict check(std::uint64_t fingerprint, instant now);

    /** A good answer came. Returns the news to send to all peers, if it clears a suspect. */
    std::optional<crash_news> on_success(std::uint64_t fingerprint, instant now);

    /** A trial ended without an answer and without a lost connection, e.g. not sent. */
    void on_trial_unused(std::uint64_t fingerprint);

    /** The connection of a request was lost after sending. `in_flight` counts this node's requests there,
       itself included; `upstream_incarnation` is empty if unknown. Returns the news to send to all peers at
       once, if there is any. */
    std::optional<crash_news> on_connection_lost(std::uint64_t fingerprint, std::string_view upstream,
                                                 std::string_view upstream_incarnation,
                                                 std::uint32_t in_flight, instant now);

    /** Takes news from a peer; the same news may come more than once and in any order. News with 0 requests
       in flight clears the fingerprint. */
    void merge(std::span<const crash_news> news, instant now);

    /** A node is gone: suspects that only it may try are forgotten; refused ones are not. */
    void on_gone(incarnation node);

    /** Recent crash news of this node for gossip, at most `limit`, for peers that missed them. */
    [[nodiscard]] std::vector<crash_news> recent_crash_reports(std::size_t limit, instant now) const;

    /** Suspects and refused requests known. */
    [[nodiscard]] std::size_t size() const;

private:
    struct suspect {
        std::vector<std::uint64_t> events; ///< Crashes in which it was lost, at most `most_events`.
        crash_news own_news; ///< Last one reported by this node; reporter not set if there is none.
        incarnation owner;
        std::uint32_t trial_crashes{0};
        bool is_in_trial{false};
        instant trial_started;
        instant refused_until;
        instant last_crash;
    };
    struct event_record {
        instant at;
        bool is_explained{false};                ///< A suspect's trial caused it.
        std::vector<std::uint64_t> fingerprints; ///< Reported for it.
        std::vector<std::uint64_t> cleared;      ///< Those that had a good answer since: old news is ignored.
    };

    void take(const crash_news& it, instant now);
    void clear(std::uint64_t fingerprint);
    void explain(std::uint64_t event, std::uint64_t culprit);
    void expire(instant now);
    [[nodiscard]] bool was_good(std::uint64_t fingerprint, instant now) const;
    std::uint64_t event_of(const crash_news& it, instant now);
    void make_room();

    options options_;
    mutable mutex mutex_;
    absl::flat_hash_map<std::uint64_t, suspect> suspects_;
    absl::flat_hash_map<std::uint64_t, event_record> events_;
    absl::flat_hash_map<std::string, std::pair<instant, std::uint64_t>>
        unnamed_; ///< Last loss, crash number.
    absl::flat_hash_map<std::uint64_t, instant> good_;
    instant next_expiry_;
};

} // namespace berylcrank
