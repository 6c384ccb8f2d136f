#include "modules/berylcrank_once/table/order_shard.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::int64_t expiry_step_ms = 1000;
/** Expired entries dropped by one admission; above 1, so that dropping keeps up with inserting. */
constexpr std::size_t drops_per_admission = 4;
constexpr int http_unavailable = 503;
constexpr int http_gateway_timeout = 504;

std::int64_t expiry_slot(instant at) {
    return at.since_start().count() / expiry_step_ms;
}

shared_response plain_answer(run_verdict verdict, int status, const char* reason) {
    return std::make_shared<const order_response>(
        order_response{.verdict = verdict, .status = status, .reason = reason});
}

/** What differs between answers; the rest is part of an entry's fixed cost. */
std::size_t bytes_of(const order_response& it) {
    std::size_t sum = it.body.size() + it.reason.size() + it.headers.size() * sizeof(order_header);
    for (const auto& [name, value] : it.headers) {
        sum += name.size() + value.size();
    }
    return sum;
}

} // namespace

admit_result order_shard::admit(const request_id& id, const content_digest& digest, instant deadline,
                                instant now, order_waiter waiter) {
    const lock_guard hold(mutex_);
    see(now);
    drop_expired(drops_per_admission);
    // Expiry comes first: an id that ran and was dropped must not be answered by the horizon as "not run".
    if (is_expired(id)) {
        ++counters_.expired;
        return {.admission = order_admission::expired, .response = nullptr};
    }
    const auto it = entries_.find(key_of(id));
    if (it == entries_.end()) {
        return insert(id, digest, deadline, std::move(waiter));
    }
    auto& entry = it->second;
    if (entry.digest != digest) {
        ++counters_.mismatched;
        return {.admission = order_admission::mismatch, .response = nullptr};
    }
    if (entry.answer != nullptr) {
        return {.admission = order_admission::recorded, .response = entry.answer};
    }
    add_waiter(it->first, entry, deadline, std::move(waiter));
    return {.admission = order_admission::waiting, .response = nullptr};
}

bool order_shard::is_pending(const request_id& id, instant now) {
    const lock_guard hold(mutex_);
    see(now);
    const auto it = entries_.find(key_of(id));
    return it != entries_.end() && it->second.state == order_state::pending && !is_expired(id) &&
           now_ < it->second.running->deadline;
}

std::optional<std::uint32_t> order_shard::begin_dispatch(const request_id& id, instant now) {
    const lock_guard hold(mutex_);
    see(now);
    const auto it = entries_.find(key_of(id));
    if (it == entries_.end() || it->second.state != order_state::pending || is_expired(id) ||
        now_ >= it->second.running->deadline) {
        return std::nullopt;
    }
    it->second.state = order_state::dispatched;
    return ++it->second.attempt;
}

bool order_shard::attempt_not_run(const request_id& id, std::uint32_t attempt) {
    const lock_guard hold(mutex_);
    const auto it = entries_.find(key_of(id));
    if (it == entries_.end() || it->second.state != order_state::dispatched ||
        it->second.attempt != attempt) {
        return false;
    }
    it->second.state = order_state::pending;
    return true;
}

bool order_shard::finish(const request_id& id, std::uint32_t attempt, order_response answer) {
    answered out;
    {
        const lock_guard hold(mutex_);
        const auto it = entries_.find(key_of(id));
        if (it == entries_.end() || it->second.state != order_state::dispatched ||
            it->second.attempt != attempt || answer.verdict == run_verdict::not_run) {
            return false;
        }
        end(it->first, it->second, order_state::finished, std::move(answer), out);
    }
    call(out);
    return true;
}

refuse_result order_shard::refuse(const request_id& id, order_response answer) {
    answered out;
    {
        const lock_guard hold(mutex_);
        const auto it = entries_.find(key_of(id));
        if (it == entries_.end() || it->second.answer != nullptr) {
            return refuse_result::ended;
        }
        if (it->second.state == order_state::dispatched) {
            return refuse_result::running;
        }
        answer.verdict = run_verdict::not_run;
        end(it->first, it->second, order_state::refused, std::move(answer), out);
    }
    call(out);
    return refuse_result::refused;
}

void order_shard::tick(instant now) {
    answered out;
    {
        const lock_guard hold(mutex_);
        see(now);
        answer_due(out);
        drop_expired(entries_.size());
    }
    call(out);
}

void order_shard::add_to(order_table::counters& out) const {
    const lock_guard hold(mutex_);
    out.entries += entries_.size();
    out.answer_bytes += counters_.answer_bytes;
    out.full += counters_.full;
    out.expired += counters_.expired;
    out.mismatched += counters_.mismatched;
    out.stripped += counters_.stripped;
}

instant order_shard::refuse_horizon() const {
    const lock_guard hold(mutex_);
    return horizon_;
}

void order_shard::call(answered& it) {
    for (auto& [waiter, answer] : it) {
        waiter(answer);
    }
}

void order_shard::see(instant now) {
    now_ = std::max(now_, now);
}

bool order_shard::is_expired(const request_id& id) const {
    return id.minted + options_.lifetime <= now_;
}

admit_result order_shard::insert(const request_id& id, const content_digest& digest, instant deadline,
                                 order_waiter waiter) {
    if (id.minted <= horizon_ || entries_.size() >= options_.max_entries) {
        if (id.minted > horizon_) {
            horizon_ = std::max(now_, id.minted);
        }
        ++counters_.full;
        return {.admission = order_admission::full, .response = nullptr};
    }
    const auto [it, inserted] = entries_.try_emplace(key_of(id));
    it->second.digest = digest;
    it->second.running = std::make_unique<order_running>();
    it->second.running->deadline = deadline;
    expiries_[expiry_slot(id.minted + options_.lifetime) + 1].push_back(it->first);
    add_waiter(it->first, it->second, deadline, std::move(waiter));
    return {.admission = order_admission::run, .response = nullptr};
}

void order_shard::add_waiter(const key& of, order_entry& entry, instant deadline, order_waiter waiter) {
    const auto number = next_waiter_++;
    entry.running->waiters.push_back({.number = number, .waiter = std::move(waiter)});
    due_.push({.at = deadline, .of = of, .number = number});
}

void order_shard::end(const key& of, order_entry& entry, order_state state, order_response answer,
                      answered& out) {
    const auto whole = std::make_shared<const order_response>(std::move(answer));
    for (auto& it : entry.running->waiters) {
        out.emplace_back(std::move(it.waiter), whole);
    }
    entry.running.reset();
    entry.state = state;
    entry.answer = record(of, whole);
    keep_within_bytes();
}

shared_response order_shard::record(const key& of, shared_response whole) {
    if (whole->body.size() > options_.recordable_bytes) {
        whole = std::make_shared<const order_response>(without_body(*whole));
    }
    counters_.answer_bytes += bytes_of(*whole);
    if (!whole->body.empty() || !whole->headers.empty()) {
        recorded_.push_back(of);
    }
    return whole;
}

void order_shard::keep_within_bytes() {
    while (!recorded_.empty() &&
           (counters_.answer_bytes > options_.max_bytes || !entries_.contains(recorded_.front()))) {
        strip_oldest();
    }
}

void order_shard::strip_oldest() {
    const auto it = entries_.find(recorded_.front());
    recorded_.pop_front();
    if (it == entries_.end()) {
        return;
    }
    auto& answer = it->second.answer;
    counters_.answer_bytes -= bytes_of(*answer);
    answer = std::make_shared<const order_response>(without_body(*answer));
    counters_.answer_bytes += bytes_of(*answer);
    ++counters_.stripped;
}

void order_shard::answer_due(answered& out) {
    while (!due_.empty() && due_.top().at <= now_) {
        const auto it = due_.top();
        due_.pop();
        answer_due(it, out);
    }
}

void order_shard::answer_due(const due_waiter& it, answered& out) {
    const auto found = entries_.find(it.of);
    if (found == entries_.end() || found->second.running == nullptr) {
        return;
    }
    auto& entry = found->second;
    if (entry.state == order_state::pending && entry.running->deadline <= now_) {
        end(it.of, entry, order_state::refused,
            {.verdict = run_verdict::not_run,
             .status = http_unavailable,
             .reason = "deadline passed before dispatch"},
            out);
        return;
    }
    auto& waiters = entry.running->waiters;
    const auto waiter = std::ranges::find(waiters, it.number, &order_running::waiting::number);
    if (waiter != waiters.end()) {
        out.emplace_back(std::move(waiter->waiter),
                         plain_answer(run_verdict::may_have_run, http_gateway_timeout,
                                      "deadline passed while the order was running"));
        waiters.erase(waiter);
    }
}

void order_shard::drop_expired(std::size_t most) {
    const auto slot = expiry_slot(now_);
    while (most > 0 && !expiries_.empty() && expiries_.begin()->first <= slot) {
        auto& keys = expiries_.begin()->second;
        for (; most > 0 && !keys.empty(); --most) {
            if (!drop(keys.back())) {
                expiries_[slot + 1].push_back(keys.back());
            }
            keys.pop_back();
        }
        if (keys.empty()) {
            expiries_.erase(expiries_.begin());
        }
    }
}

bool order_shard::drop(const key& of) {
    const auto it = entries_.find(of);
    if (it->second.running != nullptr) {
        return false;
    }
    counters_.answer_bytes -= bytes_of(*it->second.answer);
    entries_.erase(it);
    return true;
}

} // namespace berylcrank
