#include "modules/berylcrank_node/control/shared_config.h"

#include "modules/berylcrank_config/state/state_codec.h"

namespace berylcrank {

shared_config::shared_config(view_observer observer)
    : view_(std::make_shared<config_view>()), observer_(std::move(observer)) {}

config_view_ptr shared_config::view() const {
    const lock_guard guard(view_mutex_);
    return view_;
}

void shared_config::apply(std::span<const log_record> records) {
    for (const auto& it : records) {
        const lock_guard guard(state_mutex_);
        state_.apply(it.offset, it.data);
    }
    publish();
}

bool shared_config::scan(std::span<const log_record> records) {
    bool merged = false;
    for (const auto& it : records) {
        const lock_guard guard(state_mutex_);
        merged = state_.scan(it.offset, it.data) || merged;
    }
    if (merged) {
        publish();
    }
    return merged;
}

void shared_config::skip_to(std::uint64_t offset) {
    {
        const lock_guard guard(state_mutex_);
        state_.skip_to(offset);
    }
    publish();
}

bool shared_config::merge(std::string_view encoded, bool allow_gap) {
    const auto content = decode_content(encoded);
    if (!content) {
        return false;
    }
    {
        const lock_guard guard(state_mutex_);
        if (!state_.merge(*content, allow_gap)) {
            return false;
        }
    }
    publish();
    return true;
}

std::string shared_config::delta_since(std::uint64_t from) const {
    {
        const lock_guard guard(state_mutex_);
        if (!needs_full_state(state_.content(), from)) {
            return encode_delta(state_.content(), from);
        }
    }
    return encode_full_state()->encoded;
}

std::pair<std::string, std::uint64_t> shared_config::snapshot() const {
    const auto it = encode_full_state();
    return {it->encoded, it->applied};
}

std::shared_ptr<const shared_config::encoded_state> shared_config::encode_full_state() const {
    const lock_guard guard(full_state_mutex_);
    std::optional<state_content> copy;
    {
        const lock_guard state_guard(state_mutex_);
        const auto& content = state_.content();
        if (full_state_ && full_state_->applied == content.covered.end &&
            full_state_->digest == content.digest()) {
            return full_state_;
        }
        copy = content;
    }
    full_state_ = std::make_shared<const encoded_state>(encoded_state{
        .encoded = encode_content(*copy), .applied = copy->covered.end, .digest = copy->digest()});
    return full_state_;
}

std::uint64_t shared_config::applied() const {
    const lock_guard guard(state_mutex_);
    return state_.applied();
}

std::uint64_t shared_config::first_missing() const {
    const lock_guard guard(state_mutex_);
    return state_.first_missing();
}

std::optional<logged_snapshot> shared_config::newest_snapshot() const {
    const lock_guard guard(state_mutex_);
    return state_.newest_snapshot();
}

config_summary shared_config::summary(std::size_t limit) const {
    const lock_guard guard(state_mutex_);
    return {.applied = state_.applied(),
            .digest = state_.content().digest(),
            .floor = state_.content().outcomes.floor(),
            .has_gap = state_.content().covered.has_gap(),
            .counters = state_.counters(),
            .outcomes = state_.content().outcomes.recent(limit)};
}

std::vector<ticket_outcome> shared_config::outcomes_of(std::uint64_t number) const {
    const lock_guard guard(state_mutex_);
    return state_.content().outcomes.find(number);
}

void shared_config::publish() {
    config_view_ptr next;
    {
        const lock_guard guard(state_mutex_);
        next = state_.view();
        const lock_guard view_guard(view_mutex_);
        if (view_ == next) {
            return;
        }
        view_ = next;
    }
    if (observer_) {
        observer_(next);
    }
}

} // namespace berylcrank
