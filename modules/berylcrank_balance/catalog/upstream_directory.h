#pragma once

#include "modules/berylcrank_balance/catalog/upstream_entry.h"
#include "modules/berylcrank_core/time/instant.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <memory>
#include <string_view>
#include <vector>

namespace berylcrank {

/** One start of an upstream, as this node believes it to be. */
struct upstream {
    upstream_entry entry;
    std::uint32_t number{0}; ///< Hash of the id: names the upstream between nodes.
    bool leaving{false};     ///< Draining or removed; receives no new request.
    bool lapsed{false};      ///< Removed, perhaps only because the store was down.
    instant lapsed_until;    ///< A lapsed upstream is removed at this moment.
    instant cold_until;
    instant cold_updated_at; ///< When `cold_until` was last learnt.
};

using upstream_ptr = std::shared_ptr<upstream>;

/** The upstreams of all services and the failure domains that operators have evacuated.

    @see upstream_entry, record_table
*/
class upstream_directory {
public:
    /** How long a registration that lapsed while the store was down may be missing after its return. From the
        platform's pages: live upstreams are back within about two seconds. */
    static constexpr millis lapse_grace{1800};

    /** Takes a registration; older ones of the same id are ignored. `warm_up` is the service's, 0 if unknown.
        Returns the upstream if its address, state or start changed, else null. */
    upstream_ptr apply(const upstream_entry& entry, millis warm_up, instant now);

    /** Takes the removal of a registration. `after_outage`: the store was unreachable just before. */
    void remove(std::string_view id, bool after_outage, instant now);

    /** Sets whether a failure domain is evacuated. Its upstreams count as cold when it is taken back;
       `warm_up` says for how long. */
    void set_evacuated(const std::string& failure_domain, bool evacuated, millis warm_up, instant now);

    /** Takes what an upstream said of its warm-up at `when`. */
    static void set_cold(upstream& it, millis left, instant when);

    /** Removes lapsed upstreams whose grace has ended. */
    void expire(instant now);

    /** Whether a new request may go there now. */
    [[nodiscard]] bool usable(const upstream& it) const;

    [[nodiscard]] bool evacuated(std::string_view failure_domain) const;
    [[nodiscard]] const std::vector<upstream_ptr>& of_service(std::string_view service) const;
    [[nodiscard]] upstream_ptr find(std::string_view id) const;
    [[nodiscard]] upstream_ptr find(std::uint32_t number) const;
    [[nodiscard]] const absl::flat_hash_map<std::string, upstream_ptr>& all() const { return by_id_; }

private:
    void drop(const std::string& id);

    absl::flat_hash_map<std::string, upstream_ptr> by_id_;
    absl::flat_hash_map<std::uint32_t, upstream_ptr> by_number_;
    absl::flat_hash_map<std::string, std::vector<upstream_ptr>> by_service_;
    absl::flat_hash_set<std::string> evacuated_;
    instant next_lapse_{instant::never()}; // no lapsed upstream is removed before
};

} // namespace berylcrank
