#include "modules/berylcrank_gateway/node/gateway_node.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

namespace berylcrank {

namespace {

constexpr millis pull_limit{600};        // for a question to another node
constexpr std::size_t cell_fetchers = 2; // nodes of a cell that fetch records from outside it at once
constexpr millis cell_spread{150};       // over which the nodes of a cell fetch from each other
constexpr millis cell_patience{250};     // for which the others wait for them

} // namespace

void gateway_node::fall_behind(const peer& from, instant now) {
    if (behind_peer_ == 0) {
        behind_since_ = now;
    }
    behind_peer_ = from.number;
    // One or two nodes of a cell fetch from afar, the others from them; a new node fetches from near.
    const bool fetches = follower_.complete() && node_.peers.rank_in_cell(now) < cell_fetchers;
    if (fetches || !node_.peers.has_multiple_cells()) {
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

} // namespace berylcrank
