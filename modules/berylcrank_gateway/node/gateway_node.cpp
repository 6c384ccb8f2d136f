#include "modules/berylcrank_gateway/node/gateway_node.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

namespace berylcrank {

namespace {

constexpr millis sweep_interval{500}; // between checks of idle connections and silent nodes
constexpr millis pause_noticed{1500}; // a longer gap between ticks is reported as a pause of the process
constexpr millis pull_limit{600};     // for a question to another node
constexpr std::size_t max_state = 64U << 20U; // bytes of an answer with records
constexpr std::size_t greeted_distant = 5;    // nodes of other failure domains that a new node greets
constexpr std::size_t near_fanout = 2;        // nodes of the own failure domain that a roster goes to
constexpr std::size_t distant_fanout = 3; // nodes of others that the first node of a cell sends its roster to
constexpr millis list_patience{
    1500}; // for which a new node waits for the list of nodes before it reads records
constexpr std::size_t cell_fetchers = 2;  // nodes of a cell that fetch records from outside it at once
constexpr millis cell_spread{150};        // over which the nodes of a cell fetch from each other
constexpr millis cell_patience{250};      // for which the others wait for them
constexpr std::size_t known_in_hello = 8; // addresses of other nodes in a message
constexpr millis first_announce_retry{300};
constexpr millis longest_announce_retry{2000};

} // namespace

gateway_node::gateway_node(boost::asio::io_context& io, const clock& time, const wire_format& wire,
                           metadata_store& store, event_log& log, const gateway_options& options)
    : io_(io), time_(time), log_(log), store_(store), node_(io, time, wire, log, options, entropy()),
      gateway_(node_), prober_(io, node_),
      follower_(store, time, log, {}, node_.peers.self_number(), options.self.incarnation,
                [this](record_source source, const state_record& it, bool after_outage) {
                    return take_record(source, it, after_outage);
                }),
      peer_calls_(io, time, max_state), gossip_(io, options.self.ip, options.self.gossip_port, time,
                                                [this](const node_message& it) { hear(it); }),
      ready_handler_(node_, [this] { return ready(); }),
      directory_handler_(node_, [this] { return ready(); }), state_handler_(node_, follower_),
      control_handler_(node_, follower_), timer_(io), started_(time.now()), last_tick_(started_) {
    const auto listen = [&](const std::string& address, request_handler& handler) -> http_listener* {
        if (address.empty()) {
            return nullptr;
        }
        listeners_.push_back(std::make_unique<http_listener>(
            io, address, connection_context{time, handler, [this]() -> const ingress_limits& {
                                                return node_.routes.limits();
                                            }}));
        return listeners_.back().get();
    };
    node_.hear_peers = [this] { gossip_.poll(); };
    front_ = listen(options.front_address, gateway_);
    listen(options.ready_address, ready_handler_);
    listen(options.directory_address, directory_handler_);
    listen(options.control_address, control_handler_);
    listen(options.self.ip + ':' + std::to_string(options.self.gossip_port), state_handler_);
    log_.line("started")
        .field("front", options.front_address)
        .field("failure_domain", options.self.failure_domain)
        .field("incarnation", options.self.incarnation)
        .send();
    next_tick();
}

bool gateway_node::ready() const {
    return !stopping_ && node_.routes.ready() && follower_.complete();
}

void gateway_node::next_tick() {
    timer_.expires_after(tick_interval.to_chrono());
    timer_.async_wait([this](const auto& ec) {
        if (ec) {
            return;
        }
        tick(time_.now());
        next_tick();
    });
}

void gateway_node::tick(instant now) {
    if (now - last_tick_ > pause_noticed) {
        node_.metrics.event("paused");
        log_.line("paused").field("for_ms", (now - last_tick_).count()).send();
    }
    last_tick_ = now;
    gossip_.poll();
    announce();
    if (follower_.complete()) {
        follower_.tick(node_.peers.reader_rank(follower_.store_lost(), now), now);
    } else if (listed_ || now - started_ > list_patience) {
        follower_.tick(node_.peers.rank_among_known(), now);
    }
    node_.upstreams.expire(now);
    exchange_messages(now);
    pull_if_due(now);
    prober_.tick(now);
    peer_calls_.check_time(now);
    gateway_.tick(now);
    if (now >= next_sweep_) {
        next_sweep_ = now + sweep_interval;
        const bool close_idle = stopping_ && now - stop_started_ > least_stop;
        for (const auto& it : listeners_) {
            it->check_time(now, close_idle && it.get() == front_);
        }
        node_.connections.expire();
    }
    if (ready() != was_ready_) {
        was_ready_ = ready();
        if (was_ready_) {
            node_.start.begin(now);
        }
        log_.line(was_ready_ ? "ready" : "not-ready").field("version", node_.routes.version()).send();
        next_hello_ = now;
    }
    check_stop(now);
    log_.flush();
}

void gateway_node::announce() {
    if (announcing_ || (announced_ && listed_) || time_.now() < next_announce_) {
        return;
    }
    announcing_ = true;
    const auto retry = [this](store_outcome outcome) {
        announcing_ = false;
        if (outcome != store_outcome::ok) {
            announce_retry_ = std::clamp(announce_retry_ * 2, first_announce_retry, longest_announce_retry);
            next_announce_ = time_.now() + announce_retry_;
        }
    };
    if (!announced_) {
        store_.announce(node_.peers.self(), [this, retry](store_outcome outcome) {
            announced_ = outcome == store_outcome::ok;
            retry(outcome);
        });
        return;
    }
    store_.list_nodes([this, retry](store_outcome outcome, const std::vector<node_info>& nodes) {
        listed_ = outcome == store_outcome::ok;
        retry(outcome);
        std::vector<const node_info*> distant;
        for (const auto& it : nodes) {
            if (!node_.peers.learn(it, time_.now())) {
                continue;
            }
            if (it.failure_domain == node_.peers.self().failure_domain ||
                nodes.size() <= peer_table::single_cell_limit) {
                greet(it, true);
            } else {
                distant.push_back(&it);
            }
        }
        for (std::size_t i = 0; i < greeted_distant && !distant.empty(); ++i) {
            greet(*distant[node_.random.below(distant.size())], true); // the others learn of it from rosters
        }
    });
}

node_message gateway_node::message(instant now) const {
    return {.node = node_.peers.self_number(),
            .incarnation = node_.peers.self().incarnation,
            .ready = ready(),
            .marks = follower_.marks(now),
            .beat = beat_,
            .blind = follower_.store_lost()};
}

void gateway_node::greet(const node_info& it, bool asks) {
    const auto now = time_.now();
    auto hello = message(now);
    hello.has_marks = true;
    hello.self = node_.peers.self();
    hello.asks_self = asks;
    const std::array<gossip_link::endpoint, 1> to{gossip_link::address(it.ip, it.gossip_port)};
    gossip_.send(encode(hello, now), to);
}

void gateway_node::greet_seeds() {
    for (const auto& ip : node_.options.seed_ips) {
        if (ip != node_.peers.self().ip) {
            greet({.ip = ip, .gossip_port = node_.peers.self().gossip_port}, true);
        }
    }
}

void gateway_node::exchange_messages(instant now) {
    if (now < next_message_) {
        return;
    }
    next_message_ = now + node_.options.message_interval;
    ++beat_;
    for (const auto number : node_.peers.expire(now)) {
        node_.loads.peer_in_flight(number, {});
        const auto* it = node_.peers.find(number);
        log_.line("peer-silent").field("peer", it == nullptr ? "" : it->info.name).send();
    }
    send_loads(now);
    const auto own_reads = follower_.own_reads();
    if (own_reads != marks_sent_) {
        marks_sent_ = own_reads;
        send_marks(now, true);
    }
    if (now >= next_hello_) {
        next_hello_ = now + node_.options.hello_interval;
        send_hello(now);
        if (node_.peers.live(now).empty()) {
            greet_seeds();
        }
    }
    if (node_.peers.many_cells() && now >= next_roster_) {
        next_roster_ = now + node_.options.roster_interval;
        send_roster(now);
    }
}

void gateway_node::send_to(const node_message& it, const std::vector<const peer*>& peers, instant now) {
    std::vector<gossip_link::endpoint> to;
    to.reserve(peers.size());
    for (const auto* peer : peers) {
        to.push_back(gossip_link::address(peer->info.ip, peer->info.gossip_port));
    }
    if (!to.empty()) {
        gossip_.send(encode(it, now), to);
    }
}

void gateway_node::send_marks(instant now, bool to_all) {
    auto it = message(now);
    it.has_marks = true;
    std::vector<const peer*> to;
    for (const auto* peer : node_.peers.live(now)) {
        if (to_all || node_.peers.relation(*peer) == peer_relation::same_cell) {
            to.push_back(peer);
        }
    }
    send_to(it, to, now);
}

void gateway_node::send_loads(instant now) {
    auto it = message(now);
    for (auto& [number, load] : node_.loads.all()) {
        if (load.own > 0) {
            it.in_flight.push_back({.upstream = number, .count = load.own});
        }
        const bool outcomes = load.unsent.good >= 1 || load.unsent.bad >= 1;
        if (!load.report_unsent && !outcomes) {
            continue;
        }
        load_news news{.upstream = number, .outcomes = load.unsent, .unreachable = load.down_until > now};
        if (load.report_unsent) {
            news.report = load.report;
        }
        const auto target = node_.upstreams.find(number);
        if (target && node_.answers_for(*target, now)) {
            news.cold_left = std::max(millis{}, target->cold_until - now);
        }
        load.unsent = {};
        load.report_unsent = false;
        it.loads.push_back(news);
    }
    std::vector<const peer*> to;
    for (const auto* peer : node_.peers.live(now)) {
        if (node_.peers.relation(*peer) == peer_relation::same_cell) {
            to.push_back(peer);
        }
    }
    send_to(it, to, now);
}

void gateway_node::send_hello(instant now) {
    auto it = message(now);
    it.has_marks = true;
    it.self = node_.peers.self();
    std::vector<const peer*> to;
    for (const auto* peer : node_.peers.all()) {
        if (node_.peers.relation(*peer) != peer_relation::distant) {
            to.push_back(peer);
        }
        if (it.known.size() < known_in_hello && node_.peers.is_live(*peer, now)) {
            it.known.push_back(peer->info);
        }
    }
    send_to(it, to, now);
}

void gateway_node::send_roster(instant now) {
    auto it = message(now);
    it.has_marks = true;
    it.self = node_.peers.self();
    it.roster = node_.peers.roster(now);
    std::vector<const peer*> near;
    std::vector<const peer*> distant;
    for (const auto* peer : node_.peers.live(now)) {
        (node_.peers.relation(*peer) == peer_relation::distant ? distant : near).push_back(peer);
    }
    std::vector<const peer*> to;
    for (std::size_t i = 0; i < near_fanout && !near.empty(); ++i) {
        to.push_back(near[node_.random.below(near.size())]);
    }
    const bool first = node_.peers.rank_in_cell(now) == 0;
    for (std::size_t i = 0; first && i < distant_fanout && !distant.empty(); ++i) {
        to.push_back(distant[node_.random.below(distant.size())]);
    }
    send_to(it, to, now);
}

void gateway_node::hear(const node_message& it) {
    const auto now = time_.now();
    if (it.node == node_.peers.self_number()) {
        return;
    }
    const roster_entry state{.number = it.node,
                             .incarnation = it.incarnation,
                             .beat = it.beat,
                             .ready = it.ready,
                             .blind = it.blind};
    if (it.self) {
        if (node_.peers.heard(*it.self, state, now)) {
            log_.line("peer-heard")
                .field("peer", it.self->name)
                .field("incarnation", it.self->incarnation)
                .send();
        }
    } else if (!node_.peers.alive(state, now)) {
        return; // its address follows with its next hello
    }
    node_.peers.hear_roster(it.roster, now);
    const auto* sender = node_.peers.find(it.node);
    if (sender == nullptr) {
        return;
    }
    if (it.asks_self) {
        greet(sender->info, false);
    }
    for (const auto& info : it.known) {
        if (node_.peers.learn(info, now)) {
            greet(info, true);
        }
    }
    if (node_.peers.relation(*node_.peers.find(it.node)) == peer_relation::same_cell) {
        learn_loads(it, now);
    }
    if (it.has_marks && follower_.hear(it.marks, now)) {
        fall_behind(*node_.peers.find(it.node), now);
    }
}

void gateway_node::fall_behind(const peer& from, instant now) {
    if (behind_peer_ == 0) {
        behind_since_ = now;
    }
    behind_peer_ = from.number;
    // One or two nodes of a cell fetch from afar, the others from them; a new node fetches from near.
    const bool fetches = follower_.complete() && node_.peers.rank_in_cell(now) < cell_fetchers;
    if (fetches || !node_.peers.many_cells()) {
        pull(from, now);
    } else if (node_.peers.relation(from) == peer_relation::same_cell) {
        // Not all at once from the node that has it first: the others have it soon.
        behind_since_ = std::min(behind_since_, now - cell_patience + cell_spread * node_.random.unit());
    }
}

void gateway_node::pull_if_due(instant now) {
    if (behind_peer_ == 0 || now - behind_since_ < cell_patience) {
        return;
    }
    const auto* from = node_.peers.find(behind_peer_);
    behind_peer_ = 0;
    if (from != nullptr) {
        pull(*from, now);
    }
}

void gateway_node::learn_loads(const node_message& it, instant now) {
    node_.loads.peer_in_flight(it.node, it.in_flight);
    for (const auto& news : it.loads) {
        if (news.report) {
            node_.loads.report(news.upstream, *news.report, false);
        }
        if (news.outcomes.good > 0 || news.outcomes.bad > 0) {
            node_.loads.outcome(news.upstream, news.outcomes, now, false);
        }
        if (news.unreachable) {
            node_.loads.unreachable(news.upstream, now);
        }
        if (const auto target = node_.upstreams.find(news.upstream); target && news.cold_left) {
            upstream_directory::set_cold(*target, *news.cold_left, now);
        }
    }
}

void gateway_node::pull(const peer& from, instant now) {
    if (pulling_) {
        return;
    }
    pulling_ = true;
    const auto complete = follower_.marks(now);
    const std::array<std::uint64_t, record_source_count> ends{complete[0].complete ? complete[0].end : 0,
                                                              complete[1].complete ? complete[1].end : 0};
    const call_request request{.address = from.info.ip + ':' + std::to_string(from.info.gossip_port),
                               .target = state_target(ends)};
    peer_calls_.call(request, pull_limit, [this, name = from.info.name](const call_result& result) {
        pulling_ = false;
        const auto answer =
            result.answered && result.head.status == 200 ? decode_state(result.body) : std::nullopt;
        if (!answer) {
            node_.metrics.event("pull-failed");
            log_.line("pull-failed").field("peer", name).send();
            return;
        }
        follower_.merge(*answer, time_.now());
        behind_peer_ = 0;
        send_marks(time_.now(), false);
    });
}

bool gateway_node::take_record(record_source source, const state_record& it, bool after_outage) {
    return source == record_source::operators ? take_operator_record(it)
                                              : take_upstream_record(it, after_outage);
}

bool gateway_node::take_operator_record(const state_record& it) {
    std::string domain;
    const auto kind = node_.wire.classify(it.key, domain);
    if (kind == operator_record::evacuation) {
        millis warm_up;
        for (const auto& [id, target] : node_.upstreams.all()) {
            if (const auto* service = node_.routes.service(target->entry.service)) {
                warm_up = std::max(warm_up, service->warm_up);
            }
        }
        node_.upstreams.set_evacuated(domain, !it.removed, warm_up, time_.now());
        log_.line(it.removed ? "domain-taken-back" : "domain-evacuated")
            .field("failure_domain", domain)
            .send();
        return true;
    }
    if (kind != operator_record::configuration || it.removed) {
        return false;
    }
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(config, node_.wire.read_config(it.value));
            const auto version = config.version;
            if (node_.routes.apply(std::move(config))) {
                log_.line("config-applied").field("version", version).field("offset", it.offset).send();
            }
            return {};
        },
        [&](const std::string& reason) {
            node_.metrics.event("unreadable-config");
            log_.line("config-unreadable").field("offset", it.offset).field("reason", reason).send();
        },
        [&] { node_.metrics.event("unreadable-config"); });
    return true;
}

bool gateway_node::take_upstream_record(const state_record& it, bool after_outage) {
    const auto now = time_.now();
    if (it.removed) {
        log_.line("upstream-removed").field("upstream", it.key).field("after_outage", after_outage).send();
        node_.upstreams.remove(it.key, after_outage, now);
        return true;
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(entry, node_.wire.read_upstream(it.key, it.value));
            const auto* service = node_.routes.service(entry.service);
            if (service == nullptr && node_.routes.ready()) {
                return boost::leaf::new_error(std::string("no such service"));
            }
            const auto changed =
                node_.upstreams.apply(entry, service == nullptr ? millis{} : service->warm_up, now);
            if (changed) {
                log_.line("upstream-changed")
                    .field("upstream", entry.id)
                    .field("service", entry.service)
                    .field("address", entry.address)
                    .field("draining", entry.draining)
                    .field("cold_ms", entry.cold_left.count())
                    .send();
            }
            return changed != nullptr;
        },
        [&](const std::string& reason) {
            node_.metrics.event("unreadable-upstream");
            log_.line("upstream-unreadable").field("upstream", it.key).field("reason", reason).send();
            return false;
        },
        [&] {
            node_.metrics.event("unreadable-upstream");
            return false;
        });
}

void gateway_node::stop() {
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stop_started_ = time_.now();
    gateway_.stop();
    next_hello_ = stop_started_;
    next_message_ = stop_started_;
    log_.line("stopping").field("active", static_cast<std::uint64_t>(gateway_.active())).send();
}

void gateway_node::check_stop(instant now) {
    if (!stopping_) {
        return;
    }
    const auto passed = now - stop_started_;
    const bool quiet = gateway_.active() == 0 && (front_ == nullptr || front_->connections() == 0);
    if ((quiet && passed > least_stop) || passed > node_.options.grace - stop_margin) {
        log_.line("stopped")
            .field("after_ms", passed.count())
            .field("active", static_cast<std::uint64_t>(gateway_.active()))
            .send();
        log_.flush();
        io_.stop();
    }
}

} // namespace berylcrank
