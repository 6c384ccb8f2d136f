#include "modules/berylcrank_gateway/node/gateway_node.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

namespace berylcrank {

namespace {

constexpr millis pull_timeout{600};          // of a state request to another node
constexpr std::size_t fetchers_per_cell = 2; // nodes of a cell that pull records from other cells at once
constexpr millis pull_spread{150};           // maximum random delay of a pull within a cell
constexpr millis pull_delay{250};            // after which the other nodes pull from any node

// Returns nothing if the configuration cannot be read.
std::optional<std::uint64_t> config_version(const wire_format& wire, const state_record& it) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<std::uint64_t>> {
            BOOST_LEAF_AUTO(config, wire.read_config(it.value));
            return std::optional(config.version);
        },
        [] { return std::optional<std::uint64_t>(); });
}

} // namespace

void gateway_node::on_newer_state(const peer& from, instant now) {
    if (behind_peer_ == 0) {
        behind_since_ = now;
    }
    behind_peer_ = from.number;
    // The first fetchers_per_cell nodes of a cell pull from other cells at once. The rest wait for
    // pull_delay, so that they can pull from those, and so does a node without a complete copy.
    const bool fetches = follower_.complete() && node_.peers.rank_in_cell(now) < fetchers_per_cell;
    if (fetches || !node_.peers.has_multiple_cells()) {
        pull_state(from);
    } else if (node_.peers.relation(from) == peer_relation::same_cell) {
        // A random delay keeps the nodes from all pulling at once from the first one that has the records.
        behind_since_ = std::min(behind_since_, now - pull_delay + pull_spread * node_.random.unit());
    }
}

void gateway_node::pull_state_if_due(instant now) {
    if (behind_peer_ == 0 || now - behind_since_ < pull_delay) {
        return;
    }
    const auto* from = node_.peers.find(behind_peer_);
    behind_peer_ = 0;
    if (from != nullptr) {
        pull_state(*from);
    }
}

void gateway_node::pull_state(const peer& from) {
    if (pulling_) {
        return;
    }
    pulling_ = true;
    const call_request request{.address = from.info.ip + ':' + std::to_string(from.info.gossip_port),
                               .target = state_target(follower_.ends())};
    peer_client_.call(request, pull_timeout, [this, name = from.info.name](const call_result& result) {
        pulling_ = false;
        const auto response =
            result.has_response && result.head.status == 200 ? decode_state(result.body) : std::nullopt;
        if (!response) {
            node_.metrics.count_event("pull-failed");
            log_.line("pull-failed").field("peer", name).send();
            return;
        }
        follower_.merge(*response, time_.now());
        behind_peer_ = 0;
        send_watermarks(time_.now(), false);
    });
}

record_effect gateway_node::apply_record(record_source source, const state_record& it, bool after_outage) {
    return source == record_source::operators ? apply_operator_record(it)
                                              : apply_upstream_record(it, after_outage);
}

// Decides on records that may be part of the backup. The operator writes again what the backup lacks; until
// then this node keeps what it knows. A configuration
// that is not older than the known one was written after the restore, and so was an evacuation with a higher
// offset than the known record, since the backup ends at or before that one.
bool gateway_node::keeps_record(record_source source, const state_record& known,
                                const state_record& restored) const {
    if (source != record_source::operators) {
        return false;
    }
    if (restored.removed) {
        return true;
    }
    std::string domain;
    switch (node_.wire.classify(known.key, domain)) {
    case operator_record::evacuation:
        return restored.offset <= known.offset;
    case operator_record::configuration: {
        const auto version = config_version(node_.wire, restored);
        return !version || (!known.removed && *version < config_version(node_.wire, known).value_or(0));
    }
    case operator_record::other:
        return false;
    }
    return false;
}

record_effect gateway_node::apply_operator_record(const state_record& it) {
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
        return record_effect::changed;
    }
    if (kind != operator_record::configuration || it.removed) {
        return record_effect::unchanged;
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<record_effect> {
            BOOST_LEAF_AUTO(config, node_.wire.read_config(it.value));
            const auto version = config.version;
            if (node_.apply_config(std::move(config))) {
                log_.line("config-applied").field("version", version).field("offset", it.offset).send();
            } else if (version < node_.routes.version()) {
                log_superseded(it);
                return record_effect::superseded;
            }
            return record_effect::changed;
        },
        [&](const std::string& reason) {
            node_.metrics.count_event("unreadable-config");
            log_.line("config-unreadable").field("offset", it.offset).field("reason", reason).send();
            return record_effect::changed;
        },
        [&] {
            node_.metrics.count_event("unreadable-config");
            return record_effect::changed;
        });
}

void gateway_node::log_superseded(const state_record& it) {
    node_.metrics.count_event("superseded-record");
    log_.line("record-superseded").field("key", it.key).field("offset", it.offset).send();
}

record_effect gateway_node::apply_upstream_record(const state_record& it, bool after_outage) {
    const auto now = time_.now();
    if (it.removed) {
        log_.line("upstream-removed").field("upstream", it.key).field("after_outage", after_outage).send();
        node_.upstreams.remove(it.key, after_outage, now, it.epoch);
        return record_effect::changed;
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<record_effect> {
            BOOST_LEAF_AUTO(entry, node_.wire.read_upstream(it.key, it.value));
            entry.epoch = it.epoch;
            if (node_.upstreams.is_superseded(entry)) {
                log_superseded(it);
                return record_effect::superseded;
            }
            const auto* service = node_.routes.service(entry.service);
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
            return changed ? record_effect::changed : record_effect::unchanged;
        },
        [&](const std::string& reason) { return drop_unreadable_upstream(it, reason); },
        [&] { return drop_unreadable_upstream(it, "unknown"); });
}

record_effect gateway_node::drop_unreadable_upstream(const state_record& it, std::string_view reason) {
    node_.metrics.count_event("unreadable-upstream");
    log_.line("upstream-unreadable").field("upstream", it.key).field("reason", reason).send();
    node_.upstreams.remove(it.key, false, time_.now(), it.epoch);
    return record_effect::changed; // other nodes may know the upstream by its former record
}

} // namespace berylcrank
