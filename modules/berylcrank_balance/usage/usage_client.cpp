#include "modules/berylcrank_balance/usage/usage_client.h"

#include <algorithm>
#include <utility>

namespace berylcrank {

void usage_client::request(std::uint64_t account, const usage_limits& limits, std::uint64_t version,
                           millis patience, callback done, usage_transport& transport, instant now) {
    if (pending_.size() >= max_pending) {
        ++counts_.no_holder;
        done({.wait = response_timeout});
        return;
    }
    const auto id = next_id_++;
    pending_[id] = {.request = {.id = id, .account = account, .limits = limits, .version = version},
                    .done = std::move(done),
                    .give_up_at = now + patience,
                    .turn = id};
    ask(id, transport, now);
}

std::uint64_t usage_client::next_holder(pending_request& it, instant now) {
    const auto holders = owner_.holders(usage_group(it.request.account), now);
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const auto holder = holders[it.turn++ % holders.size()];
        const auto avoided = avoided_until_.find(holder);
        if (avoided == avoided_until_.end() || avoided->second <= now) {
            return holder;
        }
    }
    return holders[it.turn++ % holders.size()];
}

void usage_client::ask(std::uint64_t id, usage_transport& transport, instant now) {
    auto& it = pending_.at(id);
    const auto to = next_holder(it, now);
    it.holder = to;
    it.awaits_response = true;
    it.sent_at = now;
    it.ask_at = now + response_timeout;
    if (to == self_) {
        const auto copy = it.request;
        on_response(holder_.on_request(copy, now), transport, now);
        return;
    }
    transport.send(to, {.node = self_, .run = run_, .request = it.request});
}

void usage_client::on_response(const usage_response& it, usage_transport& transport, instant now) {
    const auto found = pending_.find(it.id);
    if (found == pending_.end()) {
        return; // given up, or a duplicate
    }
    if (!it.granted) {
        on_refusal(it.id, it, transport, now);
        return;
    }
    // The holder issued the token after the request was sent.
    const auto valid_until = found->second.sent_at + tolerance_.token_lifetime();
    if (valid_until <= now) {
        ask_again(it.id, transport, now);
        return;
    }
    ++counts_.granted;
    finish(it.id, {.token = usage_token{valid_until}});
}

void usage_client::on_refusal(std::uint64_t id, const usage_response& response, usage_transport& transport,
                              instant now) {
    auto& it = pending_.at(id);
    it.awaits_response = false;
    if (!response.has_pledges) {
        return; // the next tick after response_timeout asks again
    }
    it.wait = it.refusals == 0 ? response.wait : std::min(it.wait, response.wait);
    ++it.refusals;
    const auto holders = owner_.holders(usage_group(it.request.account), now).size();
    if (static_cast<std::size_t>(it.refusals) < holders) {
        ask(id, transport, now);
        return;
    }
    it.over_limit = true;
    if (it.wait <= max_token_wait && now + it.wait < it.give_up_at) {
        it.ask_at = now + it.wait;
        return;
    }
    ++counts_.over_limit;
    if (refusals_.size() < max_remembered || refusals_.contains(it.request.account)) {
        refusals_[it.request.account] = {.until = now + refusal_memory, .token_at = now + it.wait};
    }
    finish(id, {.over_limit = true, .wait = it.wait});
}

void usage_client::ask_again(std::uint64_t id, usage_transport& transport, instant now) {
    // A new id, so that a late response to the first one does not make a token valid for too long.
    auto it = std::move(pending_.extract(id).mapped());
    it.request.id = next_id_++;
    it.refusals = 0;
    const auto new_id = it.request.id;
    pending_[new_id] = std::move(it);
    ask(new_id, transport, now);
}

void usage_client::finish(std::uint64_t id, const usage_decision& decision) {
    const auto it = std::move(pending_.extract(id).mapped());
    if (decision.token) {
        refusals_.erase(it.request.account);
    }
    it.done(decision);
}

void usage_client::tick(usage_transport& transport, instant now) {
    std::vector<std::uint64_t> ended;
    std::vector<std::uint64_t> due;
    for (const auto& [id, it] : pending_) {
        if (now >= it.give_up_at) {
            ended.push_back(id);
        } else if (now >= it.ask_at) {
            due.push_back(id);
        }
    }
    for (const auto id : ended) {
        if (const auto it = pending_.find(id); it != pending_.end()) {
            const bool over_limit = it->second.over_limit;
            ++(over_limit ? counts_.over_limit : counts_.no_holder);
            finish(id, {.over_limit = over_limit, .wait = it->second.wait});
        }
    }
    for (const auto id : due) {
        if (pending_.contains(id)) {
            ++counts_.retried;
            if (const auto& it = pending_.at(id); it.awaits_response) {
                avoided_until_[it.holder] = now + avoidance_time;
            }
            ask_again(id, transport, now);
        }
    }
    absl::erase_if(avoided_until_, [now](const auto& it) { return it.second <= now; });
    absl::erase_if(refusals_, [now](const auto& it) { return it.second.until <= now; });
}

std::optional<millis> usage_client::refused_recently(std::uint64_t account, instant now) const {
    const auto it = refusals_.find(account);
    if (it == refusals_.end() || it->second.until <= now) {
        return std::nullopt;
    }
    return std::max(millis{}, it->second.token_at - now);
}

} // namespace berylcrank
