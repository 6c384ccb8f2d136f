#include "modules/berylcrank_node/control/node_news.h"

namespace berylcrank {

namespace {

// Bounds of warm news in one message; they keep its size constant.
constexpr std::size_t most_recent_news = 24;
constexpr std::size_t most_old_news = 4;
constexpr millis recent_news{10000};

// The log counts as reachable if it answered a read within this time.
constexpr millis log_answer_age{2500};

} // namespace

gossip_message node_news::make() {
    const auto now = parts_.time.now();
    gossip_message out;
    {
        const lock_guard hold(mutex_);
        out = parts_.peers.make_message(random_, now);
        out.warm = parts_.gate.warm_reports(random_, most_recent_news, most_old_news, recent_news, now);
    }
    // Evidence is read before the state: the offset in the message must cover what the stated read has seen.
    const auto log = parts_.config.evidence();
    const auto view = parts_.config.view();
    out.applied_offset = view->applied();
    out.state_digest = view->digest();
    if (log.end_read) {
        out.freshness_age = now - *log.end_read;
    }
    out.log_reachable = log.answered && now - *log.answered < log_answer_age;
    return out;
}

void node_news::take(const gossip_message& it) {
    parts_.config.on_peer_state(it.applied_offset, it.state_digest);
    const auto now = parts_.time.now();
    for (const auto& news : it.warm) {
        parts_.gate.on_warm_report(news, now);
    }
}

std::vector<gossip_target> node_news::choose() {
    const lock_guard hold(mutex_);
    return parts_.peers.choose_targets(random_, parts_.time.now());
}

} // namespace berylcrank
