#pragma once

#include "modules/berylcrank_balance/catalog/upstream_entry.h"
#include "modules/berylcrank_core/time/instant.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace berylcrank {

/** This node's view of one upstream since its last start. */
struct upstream {
    upstream_entry entry;
    std::uint32_t number{0};     ///< Hash of the id, which identifies the upstream in messages between nodes.
    bool leaving{false};         ///< Draining or removed; receives no new requests.
    bool announced_leave{false}; ///< It announced its stop itself, which holds until its next start.
    instant paused_until;        ///< It asked for no requests until then.
    bool lapsed{false};          ///< Its registration expired, perhaps only because the store was down.
    instant lapsed_until;        ///< Time at which a lapsed upstream is removed.
    std::uint64_t lapse_epoch{0}; ///< Epoch of the store in which its registration expired.
    instant cold_until;           ///< End of the warm-up.
    instant cold_updated_at;      ///< Time of the last update of `cold_until`.
    bool unverified{false};       ///< It counts as cold because nothing has been heard of it since a pause.
};

using upstream_ptr = std::shared_ptr<upstream>;

/** Upstreams of all services, and the failure domains that operators have evacuated.

    @see upstream_entry, record_table
*/
class upstream_directory {
public:
    /** Time for which an upstream is kept after the store has returned from an outage without its
        registration. According to the platform's documentation, live upstreams register again within about
        two seconds. */
    static constexpr millis lapse_grace{1800};

    /** Largest extension of a warm-up that is not a change: a registration that repeats the remaining time
        arrives later than it was written. */
    static constexpr millis cold_delay{250};

    /** Adds or updates a registration, unless it is superseded. `warm_up` is the service's warm-up time, 0 if
        unknown. A registration of the same start extends a running warm-up but does not shorten it. Returns
        the upstream if its address, state or start changed or its warm-up was extended by more than
        `cold_delay`, otherwise null. */
    upstream_ptr apply(const upstream_entry& entry, millis warm_up, instant now);

    /** Returns whether a registration is older than the stored or the last removed one of the same id. The
        store may execute a write seconds after it was sent. */
    [[nodiscard]] bool is_superseded(const upstream_entry& entry) const;

    /** Removes a registration. `after_outage` states that the store was unreachable just before; the upstream
        is then kept for `lapse_grace`, unless it is draining. Registrations older than the removed one are
        ignored from then on. `epoch` is that of the removal: a registration of a later epoch must be newer
        than the removed one, since a backup of the store may still list the upstream. */
    void remove(std::string_view id, bool after_outage, instant now, std::uint64_t epoch = 0);

    /** Sets whether a failure domain is evacuated. When the evacuation ends, the upstreams of the domain are
        cold for the time `warm_up`. */
    void set_evacuated(const std::string& failure_domain, bool evacuated, millis warm_up, instant now);

    /** Updates the remaining warm-up time of an upstream, as reported at the time `when`. */
    static void set_cold(upstream& it, millis remaining, instant when);

    /** Makes an upstream cold for at least `warm_up` because it may have become cold unnoticed. Statements
       from before `now` do not end this; the next set_cold() does. */
    static void set_unverified(upstream& it, millis warm_up, instant now);

    /** Marks an upstream as leaving until its next start, whatever its registration says. Returns whether
        that is new. */
    bool announce_leave(upstream& it);

    /** Removes lapsed upstreams whose grace period has ended. */
    void expire(instant now);

    /** Returns whether an upstream may receive new requests now. */
    [[nodiscard]] bool usable(const upstream& it) const;

    /** Returns the earliest end of the pauses of a service's usable upstreams if all of them are paused. */
    [[nodiscard]] std::optional<instant> paused_until(std::string_view service, instant now) const;

    /** Returns whether a failure domain is evacuated. */
    [[nodiscard]] bool evacuated(std::string_view failure_domain) const;
    /** Returns the upstreams of a service; empty if there are none. */
    [[nodiscard]] const std::vector<upstream_ptr>& of_service(std::string_view service) const;
    /** Returns the upstream with that id; null if there is none. */
    [[nodiscard]] upstream_ptr find(std::string_view id) const;
    /** Returns the upstream with that number; null if there is none. */
    [[nodiscard]] upstream_ptr find(std::uint32_t number) const;
    /** Returns all upstreams by id. */
    [[nodiscard]] const absl::flat_hash_map<std::string, upstream_ptr>& all() const { return by_id_; }

private:
    /** Number of announced leaves that are remembered after their upstreams have gone. */
    static constexpr std::size_t max_announced_leaves = 4096;

    /** Number of removed registrations that are remembered; beyond it, the oldest is forgotten. */
    static constexpr std::size_t max_departures = 4096;
    /** Time after which they are forgotten if there are too many. It exceeds the age of late writes and of
        backups, which are seconds old. */
    static constexpr millis departure_memory{600000};

    /** The last registration of an upstream that was removed. */
    struct departure {
        registration_order last;
        std::uint64_t epoch{0}; ///< Epoch of the store in which it was removed.
        instant at;
    };

    void remember_departure(const upstream_entry& last, std::uint64_t epoch, instant now);
    void forget_oldest_departures(instant now);
    /** Returns whether a registration was sent before the removal of its upstream. */
    [[nodiscard]] bool departed_before(const upstream_entry& entry) const;
    void drop(const std::string& id);
    [[nodiscard]] bool has_announced_leave(const upstream_entry& entry) const;

    absl::flat_hash_map<std::string, upstream_ptr> by_id_;
    absl::flat_hash_map<std::uint32_t, upstream_ptr> by_number_;
    absl::flat_hash_map<std::string, std::vector<upstream_ptr>> by_service_;
    absl::flat_hash_map<std::string, std::uint64_t> announced_leaves_; // start time by id
    absl::flat_hash_map<std::string, departure> departures_;           // by id
    absl::flat_hash_set<std::string> evacuated_;
    instant next_lapse_{instant::never()}; // earliest time at which a lapsed upstream is removed
};

} // namespace berylcrank
