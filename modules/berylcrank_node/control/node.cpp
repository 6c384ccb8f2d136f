#include "modules/berylcrank_node/control/node.h"

#include <glog/logging.h>
#include <utility>
#include <xxhash.h>

namespace berylcrank {

namespace {

millis ms(std::uint32_t it) {
    return millis{static_cast<std::int64_t>(it)};
}

peer_info self_info(schema::Settings::Reader it, incarnation self, const std::string& http_address,
                    const std::string& rpc_address) {
    return {.vm = it.getVm().cStr(),
            .run = self,
            .failure_domain = it.getFailureDomain().cStr(),
            .http_address = http_address,
            .rpc_address = rpc_address,
            .starting = true};
}

cold_timing cold_timing_of(schema::Settings::Reader it) {
    return {.permit_lifetime = ms(it.getCold().getPermitMs()),
            .max_proof_age = ms(it.getPlatform().getIsolationLimitMs())};
}

service_router::options router_options(schema::Settings::Reader it, incarnation self) {
    const std::string vm = it.getVm().cStr();
    return {.node = XXH3_64bits(vm.data(), vm.size()),
            .seed = self.value,
            .max_nodes = it.getGossip().getMaxNodes()};
}

order_table::options table_options(schema::Settings::Reader it) {
    return {.max_entries = it.getOrders().getTableEntries(),
            .max_bytes = it.getOrders().getTableBytes(),
            .recordable_bytes = it.getOrders().getAnswerBytes(),
            .lifetime = ms(it.getOrders().getIdLifetimeMs())};
}

http_server::options server_options(schema::Settings::Reader it) {
    return {.address = it.getHttpAddress().cStr(),
            .threads = it.getThreads().getServer(),
            .max_body_bytes = it.getOrders().getBodyBytes(),
            .max_header_bytes = it.getRequests().getHeaderBytes(),
            .buffer_bytes = it.getRequests().getBufferBytes(),
            .max_connections = it.getRequests().getMaxConnections()};
}

node_control::options control_options(schema::Settings::Reader it, incarnation self) {
    return {.gossip = ms(it.getGossip().getIntervalMs()),
            .isolation_limit = ms(it.getPlatform().getIsolationLimitMs()),
            .leave = {.address_ttl = ms(it.getAddresses().getKeepMs())},
            .seed = self.value};
}

suspect_table::options suspect_options(incarnation self) {
    // Delays of trials are spread over the nodes, so that one of them starts a trial.
    constexpr millis trial_spread{20000};
    constexpr std::uint64_t steps = 1024;
    // A change goes to single peers, drawn at random, which pass it on.
    constexpr int copies = 6;
    return {.trial_delay =
                trial_spread * (static_cast<double>(self.value % steps) / static_cast<double>(steps)),
            .report_copies = copies};
}

config_follower::options follower_options(schema::Settings::Reader it, incarnation self) {
    return {.poll = ms(it.getPlatform().getPollMs()),
            .retention = ms(it.getPlatform().getLogRetentionMs()),
            .gap_wait = ms(it.getPlatform().getGapWaitMs()),
            .seed = self.value};
}

} // namespace

boost::leaf::result<std::unique_ptr<node>> node::start(const settings& it) {
    const auto reader = it.get();
    listeners servers{.loops = std::make_shared<loop_group>(reader.getThreads().getServer()),
                      .handler = std::make_unique<deferred_handler>(),
                      .service = std::make_unique<node_peer_service>()};
    std::string error;
    servers.endpoint =
        make_peer_endpoint({.address = reader.getRpcAddress().cStr()}, *servers.service, error);
    if (servers.endpoint == nullptr) {
        return boost::leaf::new_error("rpc_address: " + error);
    }
    auto http_options = server_options(reader);
    http_options.loops = servers.loops;
    BOOST_LEAF_ASSIGN(servers.server, start_http_server(http_options, *servers.handler));
    std::unique_ptr<node> out(new node(reader, std::move(servers)));
    out->start_components();
    return out;
    // The analyzer does not follow the unique_ptrs that are moved into the node.
} // NOLINT(clang-analyzer-cplusplus.NewDeleteLeaks)

node::node(schema::Settings::Reader it, listeners servers)
    : minter_({.self = self_, .secret = entropy()}), issuer_({.self = self_, .times = cold_timing_of(it)}),
      servers_(std::move(servers)), server_(servers_.server.get()), endpoint_(servers_.endpoint.get()),
      peers_({.self = self_info(it, self_, server_->address(), endpoint_->address()),
              .silence_timeout = ms(it.getGossip().getSilentMs()),
              .fan_out = it.getGossip().getFanOut()}),
      addresses_({.address_ttl = ms(it.getAddresses().getKeepMs()), .count = it.getAddresses().getCount()}),
      log_({.address = it.getPlatform().getLogAddress().cStr()}),
      vm_list_({.address = it.getPlatform().getVmListAddress().cStr()}), puller_(clock_, peers_),
      services_({.router = router_options(it, self_), .metrics = metrics_, .gate = gate_}),
      applier_({.time = clock_, .self = self_, .services = services_, .gate = gate_, .issuer = issuer_}),
      config_(follower_options(it, self_), log_, puller_, clock_,
              [this](const config_view_ptr& view) { applier_.apply(view); }),
      suspects_(suspect_options(self_),
                [this](const upstream_loss& lost) { return runs_.has_survived(lost); }),
      gossip_messages_(
          {.time = clock_, .peers = peers_, .config = config_, .gate = gate_, .suspects = suspects_},
          self_.value),
      permits_({.time = clock_,
                .self = self_,
                .config = config_,
                .peers = peers_,
                .issuer = issuer_,
                .client = *endpoint_},
               {}),
      client_(make_upstream_client({.loops = servers_.loops})),
      router_({.time = clock_, .gate = gate_, .permits = permits_, .lease = lease_}, services_),
      guarded_router_({.time = clock_, .suspects = suspects_, .runs = runs_, .next = router_}),
      table_(table_options(it)), home_resolver_(peers_),
      orders_(
          {.limits = {.recordable_bytes = it.getOrders().getAnswerBytes()}},
          {.time = clock_, .minter = minter_, .table = table_, .router = guarded_router_, .client = *client_},
          *endpoint_, home_resolver_),
      idempotent_({.stall = ms(it.getRequests().getStallMs()), .id_prefix = to_hex(self_)}, guarded_router_,
                  *client_, clock_),
      control_({.time = clock_,
                .self = self_,
                .peers = peers_,
                .addresses = addresses_,
                .config = config_,
                .gossip_messages = gossip_messages_,
                .client = *endpoint_,
                .gate = gate_,
                .issuer = issuer_,
                .permits = permits_,
                .router = router_,
                .services = services_,
                .orders = orders_,
                .lease = lease_,
                .in_flight = [this] { return server_->open_exchanges() + orders_.running(); },
                .is_ready = [this] { return unready_reason().empty(); }},
               control_options(it, self_)),
      collector_({.time = clock_,
                  .endpoint = *endpoint_,
                  .orders = orders_,
                  .table = table_,
                  .config = config_,
                  .issuer = issuer_,
                  .peers = peers_,
                  .suspects = suspects_}),
      pages_({.vm = it.getVm().cStr(),
              .failure_domain = it.getFailureDomain().cStr(),
              .http_address = server_->address(),
              .self = self_,
              .id_prefix_lifetime = ms(it.getOrders().getIdLifetimeMs() / 2)},
             {.time = clock_,
              .minter = minter_,
              .addresses = addresses_,
              .peers = peers_,
              .config = config_,
              .services = services_,
              .metrics = metrics_,
              .counters = collector_,
              .unready_reason = [this] { return unready_reason(); },
              .freshness = [this] { return std::string(to_string(control_.current_freshness())); }}),
      dispatcher_({.time = clock_,
                   .services = services_,
                   .minter = minter_,
                   .idempotent = idempotent_,
                   .orders = orders_,
                   .pages = pages_}),
      vm_poller_({.list = vm_list_, .peers = peers_, .time = clock_}, ms(it.getPlatform().getPollMs())) {}

void node::start_components() {
    servers_.service->start({.time = clock_,
                             .peers = peers_,
                             .config = config_,
                             .gossip_messages = gossip_messages_,
                             .issuer = issuer_,
                             .orders = orders_});
    puller_.start(*endpoint_);
    config_.start();
    vm_poller_.start();
    control_.start();
    servers_.handler->start(dispatcher_);
}

node::~node() {
    // Shutdown order: first the components that start work, then those that respond to it, then those that
    // it uses.
    servers_.server->stop_accepting();
    control_.stop();
    vm_poller_.stop();
    config_.stop();
    // Exchanges of the server refer to attempts of the client, which report to the order table and the
    // endpoint.
    servers_.server.reset();
    client_.reset();
    servers_.endpoint.reset();
}

std::string node::unready_reason() const {
    if (!config_.is_ready()) {
        return "no configuration yet";
    }
    if (control_.is_leaving()) {
        return "leaving";
    }
    const auto view = config_.view();
    for (std::uint32_t group = 0; group < group_count; ++group) {
        if (!view->holder_of(group).holder.is_set()) {
            return "no node issues permits for starting upstreams yet";
        }
    }
    if (!lease_.is_valid(clock_.now())) {
        return "cut off from the log and most nodes";
    }
    return {};
}

} // namespace berylcrank
