#pragma once

#include "modules/berylcrank_core/identity/id_minter.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_http/message/http_message.h"
#include "modules/berylcrank_membership/address/address_selector.h"
#include "modules/berylcrank_membership/view/peer_view.h"
#include "modules/berylcrank_node/control/config_follower.h"
#include "modules/berylcrank_node/metrics/node_metrics.h"
#include "modules/berylcrank_node/request/service_table.h"

#include <functional>
#include <optional>

namespace berylcrank {

/** The HTTP pages of the node itself: addresses, status, readiness, metrics, burn counts.
    Thread-safe.
    @see docs/interfaces.md
*/
class status_pages {
public:
    /** Returns why the node is not ready; empty if it is ready. */
    using readiness = std::function<std::string()>;

    /** Data sources of the pages; all must outlive this object. */
    struct dependencies {
        const clock& time;
        id_minter& minter;
        address_selector& addresses;
        const peer_view& peers;
        const config_follower& config;
        const service_table& services;
        node_metrics& metrics;
        const prometheus::Collectable& counters;
        readiness unready_reason;
        std::function<std::string()> freshness;
    };

    struct options {
        std::string vm;
        std::string failure_domain;
        std::string http_address;
        incarnation self;
        millis id_prefix_lifetime; ///< How long a caller may use an id prefix after receiving it.
    };

    status_pages(options it, dependencies deps) : options_(std::move(it)), deps_(std::move(deps)) {}

    /** The page that a request names; nothing if there is no such page. */
    [[nodiscard]] std::optional<http_response> find(const http_request& it) const;

private:
    [[nodiscard]] http_response addresses(std::string_view query) const;
    [[nodiscard]] http_response status() const;
    [[nodiscard]] http_response burn() const;
    [[nodiscard]] http_response ready() const;

    options options_;
    dependencies deps_;
};

} // namespace berylcrank
