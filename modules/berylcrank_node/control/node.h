#pragma once

#include "modules/berylcrank_config/settings/settings.h"
#include "modules/berylcrank_http/server/http_server.h"
#include "modules/berylcrank_node/control/config_applier.h"
#include "modules/berylcrank_node/control/deferred_handler.h"
#include "modules/berylcrank_node/control/node_control.h"
#include "modules/berylcrank_node/control/node_peer_service.h"
#include "modules/berylcrank_node/control/peer_home_resolver.h"
#include "modules/berylcrank_node/control/peer_state_puller.h"
#include "modules/berylcrank_node/control/status_pages.h"
#include "modules/berylcrank_node/control/vm_list_poller.h"
#include "modules/berylcrank_node/metrics/node_collector.h"
#include "modules/berylcrank_node/request/node_router.h"
#include "modules/berylcrank_node/request/request_dispatcher.h"
#include "modules/berylcrank_node/request/suspect_router.h"
#include "modules/berylcrank_platform/log/http_log_service.h"
#include "modules/berylcrank_platform/vm_list/http_vm_list.h"

#include <boost/leaf/result.hpp>
#include <memory>
#include <string>

namespace berylcrank {

/** One node: all components of a `berylcrank node` process.
    @see node_control, request_dispatcher
*/
class node {
public:
    /** Starts a node; fails with a `std::string` message if an address cannot be used. */
    static boost::leaf::result<std::unique_ptr<node>> start(const settings& it);

    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /** Address for callers. */
    [[nodiscard]] std::string http_address() const { return server_->address(); }

    /** Address for other nodes. */
    [[nodiscard]] std::string rpc_address() const { return endpoint_->address(); }

    /** Starts a planned stop. */
    void leave() { control_.leave(); }

    /** True once a leaving node may exit. */
    [[nodiscard]] bool has_left() const { return control_.has_left(); }

private:
    /** Servers that must listen before the other components are built, because the kernel may choose their
        ports. */
    struct listeners {
        std::shared_ptr<loop_group> loops; ///< Shared by server and client: a request stays on one thread.
        std::unique_ptr<deferred_handler> handler;
        std::unique_ptr<http_server> server;
        std::unique_ptr<node_peer_service> service;
        std::unique_ptr<peer_endpoint> endpoint;
    };

    node(schema::Settings::Reader it, listeners servers);

    void start_components();
    [[nodiscard]] std::string unready_reason() const;

    steady_clock clock_;
    incarnation self_{entropy() | 1U};
    node_metrics metrics_;
    id_minter minter_;
    cold_gate gate_;
    permit_issuer issuer_;
    dispatch_lease lease_;
    listeners servers_;
    http_server* server_;
    peer_endpoint* endpoint_;
    peer_view peers_;
    address_selector addresses_;
    http_log_service log_;
    http_vm_list vm_list_;
    peer_state_puller puller_;
    service_table services_;
    config_applier applier_;
    config_follower config_;
    upstream_runs runs_;
    suspect_table suspects_; ///< Requests that may crash upstreams.
    gossip_processor gossip_messages_;
    holder_permits permits_;
    std::unique_ptr<upstream_client> client_;
    node_router router_;
    suspect_router guarded_router_;
    order_table table_;
    peer_home_resolver home_resolver_;
    order_flow orders_;
    idempotent_flow idempotent_;
    node_control control_;
    node_collector collector_;
    status_pages pages_;
    request_dispatcher dispatcher_;
    vm_list_poller vm_poller_;
};

} // namespace berylcrank
