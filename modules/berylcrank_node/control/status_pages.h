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

/** The pages of a node that are not requests to a service: addresses, status, metrics, burn counts.

    Safe from any thread.
    @see docs/interfaces.md
*/
class status_pages {
public:
    /** Why a node is not ready; empty if it is. */
    using readiness = std::function<std::string()>;

    /** What the pages read; all must outlive them. */
    struct parts {
        const clock& time;
        id_minter& minter;
        address_selector& addresses;
        const peer_view& peers;
        const config_follower& config;
        const service_table& services;
        node_metrics& metrics;
        const prometheus::Collectable& counters;
        readiness not_ready_because;
        std::function<std::string()> freshness;
    };

    struct options {
        std::string vm;
        std::string failure_domain;
        std::string http_address;
        incarnation self;
        millis id_use; ///< How long a caller may use an id prefix after receiving it.
    };

    status_pages(options it, parts p) : options_(std::move(it)), parts_(std::move(p)) {}

    /** The page that a request names; nothing if there is none. */
    [[nodiscard]] std::optional<http_response> find(const http_request& it) const;

private:
    [[nodiscard]] http_response addresses(std::string_view query) const;
    [[nodiscard]] http_response status() const;
    [[nodiscard]] http_response burn() const;
    [[nodiscard]] http_response ready() const;

    options options_;
    parts parts_;
};

} // namespace berylcrank
