#pragma once

#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_membership/view/peer_view.h"

#include "absl/container/flat_hash_map.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Answer of `GET /address`. @see address_selector */
struct address_response {
    millis address_ttl;                 ///< How long the caller may use the addresses.
    std::vector<std::string> addresses; ///< Never empty; in the order in which a caller should try them.
};

/** Chooses the entry addresses that callers get. Safe from any thread.

    Nodes that have not been ready yet, leaving nodes and nodes of taken-out failure domains are left out;
   silent ones too, unless that would leave out more than a third of the members. If nothing is left, rules
   are dropped in the order silent, taken-out failure domain, leaving, starting.
    @see peer_view, exit_policy
*/
class address_selector {
public:
    struct options {
        millis address_ttl{5000};
        std::size_t count{4}; ///< Addresses in one answer.
    };

    /** True if a failure domain is in use; unknown ones are. */
    using is_in_use = std::function<bool(std::string_view failure_domain)>;

    explicit address_selector(const options& it) : options_(it) {}

    /** Takes the members of the view and the state of the failure domains; called on each control tick and at
        once when this node starts to leave. */
    void update(const std::vector<peer_member>& members, const is_in_use& domain_in_use);

    /** An answer for a caller in `failure_domain` (empty: not known). Successive answers start at successive
        addresses, so that callers spread evenly. */
    [[nodiscard]] address_response select(std::string_view failure_domain);

    /** True if silent members are kept in because too many are silent. */
    [[nodiscard]] bool is_fail_open() const;

private:
    struct entry {
        std::string address;
        std::string failure_domain;
    };

    const options options_;
    mutable mutex mutex_;
    std::vector<entry> entries_ ABSL_GUARDED_BY(mutex_);
    bool is_fail_open_ ABSL_GUARDED_BY(mutex_){false};
    absl::flat_hash_map<std::string, std::uint64_t>
        turns_ ABSL_GUARDED_BY(mutex_); // By known failure domain.
};

} // namespace berylcrank
