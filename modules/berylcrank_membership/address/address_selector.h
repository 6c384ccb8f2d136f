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

/** Content of the response to `GET /address`. @see address_selector */
struct address_response {
    millis address_ttl;                 ///< How long the caller may use the addresses.
    std::vector<std::string> addresses; ///< Not empty; in the order in which a caller should try them.
};

/** Selects the node addresses that callers receive. Safe from any thread.

    Excludes nodes that are starting or leaving, and nodes in failure domains that are out of use. Excludes
    silent nodes too, unless more than a third of the members are silent. If no node remains, the exclusions
    are lifted in this order: silent, failure domain out of use, leaving, starting.
    @see peer_view, exit_policy
*/
class address_selector {
public:
    struct options {
        millis address_ttl{5000}; ///< How long a caller may use the addresses.
        std::size_t count{4};     ///< Addresses in one response.
    };

    /** Returns true if a failure domain is in use; an unknown one counts as in use. */
    using in_use_predicate = std::function<bool(std::string_view failure_domain)>;

    explicit address_selector(const options& it) : options_(it) {}

    /** Updates the selection from the members of the view and the state of the failure domains. Called at
        short intervals, and immediately when this node starts to leave. */
    void update(const std::vector<peer_member>& members, const in_use_predicate& domain_in_use);

    /** Selects addresses for a caller in `failure_domain`, which is empty if not known. Addresses in the same
        failure domain come first. Successive calls start at successive addresses, so that callers spread
        evenly. */
    [[nodiscard]] address_response select(std::string_view failure_domain);

    /** Returns true if silent members are included because too many are silent. */
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
    /** Calls of `select` by failure domain; the empty key counts those of unknown domains. */
    absl::flat_hash_map<std::string, std::uint64_t> call_counts_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
