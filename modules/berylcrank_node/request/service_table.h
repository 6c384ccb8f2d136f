#pragma once

#include "modules/berylcrank_config/state/config_view.h"
#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_node/metrics/node_metrics.h"
#include "modules/berylcrank_routing/cold/cold_gate.h"
#include "modules/berylcrank_routing/service/service_router.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace berylcrank {

/** State of one configured service. @see service_table */
struct service_entry {
    service_entry(const service_config& it, const service_router::options& options, service_metrics& counts)
        : config(std::make_shared<const service_config>(it)), router(it, options), metrics(counts) {}

    /** The configuration in force. */
    [[nodiscard]] std::shared_ptr<const service_config> get_config() const {
        const lock_guard hold(lock);
        return config;
    }

    void set_config(std::shared_ptr<const service_config> it) {
        const lock_guard hold(lock);
        config = std::move(it);
    }

    mutable mutex lock;
    std::shared_ptr<const service_config> config ABSL_GUARDED_BY(lock);
    service_router router;
    service_metrics& metrics;
    std::atomic<bool> has_unused_domain{false};       ///< One of its failure domains is out of use.
    std::atomic<std::int64_t> domain_restored_ms{-1}; ///< Last one's return, ms since start; -1: never.

    /** True while a failure domain is out of use and for a minute after its return. */
    [[nodiscard]] bool is_in_domain_change(instant now) const;
};

/** The configured services of a node. Lookups copy one pointer under a lock; updates build a new table.
    @see service_entry
*/
class service_table {
public:
    struct options {
        service_router::options router;
        node_metrics& metrics;
        cold_gate& gate;
    };

    explicit service_table(const options& it) : options_(it) {}

    /** The entry of a service; null if it does not exist. */
    [[nodiscard]] std::shared_ptr<service_entry> find(std::string_view name) const;

    /** Applies a configuration. Calls must not overlap. */
    void update(const config_view_ptr& new_view, instant now);

    /** Calls `visit` with each entry. */
    void for_each(const std::function<void(const std::string&, service_entry&)>& visit) const;

private:
    using table = absl::flat_hash_map<std::string, std::shared_ptr<service_entry>>;

    using domain_states = absl::flat_hash_map<std::string, bool>;

    [[nodiscard]] std::shared_ptr<service_entry> make_entry(const service_config& it) const;
    void update_entry(const config_view& view, const service_view& service, service_entry& entry,
                      instant now);
    void forget_removed(const config_view& view);

    [[nodiscard]] std::shared_ptr<const table> current() const;

    options options_;
    mutable mutex mutex_;
    std::shared_ptr<const table> table_ ABSL_GUARDED_BY(mutex_){std::make_shared<table>()};
    // Used by `update` only.
    absl::flat_hash_set<std::string> known_upstreams_;
    domain_states domain_states_;
    config_view_ptr last_view_; ///< Last applied view; a service at the same address in it is unchanged.
};

} // namespace berylcrank
