#include "modules/berylcrank_node/control/gossip_processor.h"

namespace berylcrank {

namespace {

// Limits of the warm reports in one message; they keep its size constant.
constexpr std::size_t max_recent_reports = 24;
constexpr std::size_t max_old_reports = 4;
constexpr millis recent_report_age{10000};
constexpr std::size_t max_changed_suspects = 16;
constexpr std::size_t max_refused_suspects = 4; // repeated, for nodes that have just started

// The log counts as reachable if it responded to a read within this time.
constexpr millis max_log_response_age{2500};

} // namespace

gossip_message gossip_processor::make_message() {
    const auto now = deps_.time.now();
    gossip_message out;
    {
        const lock_guard hold(mutex_);
        out = deps_.peers.make_message(random_, now);
        out.warm =
            deps_.gate.warm_reports(random_, max_recent_reports, max_old_reports, recent_report_age, now);
    }
    // The log status is read before the view: the offset in the message must cover what the reported read
    // has seen.
    const auto log = deps_.config.log_status();
    const auto view = deps_.config.view();
    out.applied_offset = view->applied();
    out.state_digest = view->digest();
    if (log.last_end_read) {
        out.freshness_age = now - *log.last_end_read;
    }
    out.log_reachable = log.last_response && now - *log.last_response < max_log_response_age;
    add_suspects(out, now);
    return out;
}

void gossip_processor::add_suspects(gossip_message& to, instant now) {
    const auto offset = instant{} - now;
    for (const auto& it : deps_.suspects.take_changes(max_changed_suspects, now)) {
        to.suspects.push_back(it.shifted(offset));
    }
    for (const auto& it : deps_.suspects.refused(max_refused_suspects, now)) {
        to.suspects.push_back(it.shifted(offset));
    }
}

void gossip_processor::process(const gossip_message& it) {
    deps_.config.on_peer_state(it.applied_offset, it.state_digest);
    const auto now = deps_.time.now();
    for (const auto& report : it.warm) {
        deps_.gate.on_warm_report(report, now);
    }
    std::vector<suspect_report> suspects;
    for (const auto& report : it.suspects) {
        suspects.push_back(report.shifted(now - instant{}));
    }
    // A message reaches one peer, so what is new is passed on, as between cells.
    deps_.suspects.merge(suspects, now, report_scope::other_cells);
}

std::vector<gossip_target> gossip_processor::choose_targets() {
    const lock_guard hold(mutex_);
    return deps_.peers.choose_targets(random_, deps_.time.now());
}

} // namespace berylcrank
