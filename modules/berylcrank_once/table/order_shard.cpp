#include "modules/berylcrank_once/table/order_shard.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::int64_t expiry_slot_ms = 1000;
/** Maximum number of expired entries that one admission drops. Greater than 1, so that entries are dropped at
    least as fast as they are inserted. */
constexpr std::size_t max_drops_per_admission = 4;
constexpr int http_unavailable = 503;
constexpr int http_gateway_timeout = 504;

std::int64_t expiry_slot(instant at) {
    return at.since_start().count() / expiry_slot_ms;
}

shared_response make_response(run_verdict verdict, int status, const char* reason) {
    return std::make_shared<const order_response>(
        order_response{.verdict = verdict, .status = status, .reason = reason});
}

/** Size in bytes of the parts of a response whose size varies. The fixed size of an entry is not included. */
std::size_t variable_bytes(const order_response& it) {
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
    advance_time(now);
    drop_expired(max_drops_per_admission);
    // Checks expiry before the refuse horizon: the entry of an expired id may have been dropped after the
    // order ran, so the id must not be refused as "not run".
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
    if (entry.response != nullptr) {
        return {.admission = order_admission::recorded, .response = entry.response};
    }
    add_waiter(it->first, entry, deadline, std::move(waiter));
    return {.admission = order_admission::waiting, .response = nullptr};
}

bool order_shard::is_pending(const request_id& id, instant now) {
    const lock_guard hold(mutex_);
    advance_time(now);
    const auto it = entries_.find(key_of(id));
    return it != entries_.end() && it->second.state == order_state::pending && !is_expired(id) &&
           now_ < it->second.running->deadline;
}

std::optional<std::uint32_t> order_shard::begin_dispatch(const request_id& id, instant now) {
    const lock_guard hold(mutex_);
    advance_time(now);
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

bool order_shard::finish(const request_id& id, std::uint32_t attempt, order_response response) {
    completed_waiters out;
    {
        const lock_guard hold(mutex_);
        const auto it = entries_.find(key_of(id));
        if (it == entries_.end() || it->second.state != order_state::dispatched ||
            it->second.attempt != attempt || response.verdict == run_verdict::not_run) {
            return false;
        }
        complete(it->first, it->second, order_state::finished, std::move(response), out);
    }
    call_waiters(out);
    return true;
}

refuse_result order_shard::refuse(const request_id& id, order_response response) {
    completed_waiters out;
    {
        const lock_guard hold(mutex_);
        const auto it = entries_.find(key_of(id));
        if (it == entries_.end() || it->second.response != nullptr) {
            return refuse_result::ended;
        }
        if (it->second.state == order_state::dispatched) {
            return refuse_result::running;
        }
        response.verdict = run_verdict::not_run;
        complete(it->first, it->second, order_state::refused, std::move(response), out);
    }
    call_waiters(out);
    return refuse_result::refused;
}

void order_shard::tick(instant now) {
    completed_waiters out;
    {
        const lock_guard hold(mutex_);
        advance_time(now);
        expire_waiters(out);
        drop_expired(entries_.size());
    }
    call_waiters(out);
}

void order_shard::add_to(order_table::counters& out) const {
    const lock_guard hold(mutex_);
    out.entries += entries_.size();
    out.response_bytes += counters_.response_bytes;
    out.full += counters_.full;
    out.expired += counters_.expired;
    out.mismatched += counters_.mismatched;
    out.stripped += counters_.stripped;
}

instant order_shard::refuse_horizon() const {
    const lock_guard hold(mutex_);
    return horizon_;
}

void order_shard::call_waiters(completed_waiters& it) {
    for (auto& [waiter, response] : it) {
        waiter(response);
    }
}

void order_shard::advance_time(instant now) {
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
    it->second.running = std::make_unique<running_order>();
    it->second.running->deadline = deadline;
    expiries_[expiry_slot(id.minted + options_.lifetime) + 1].push_back(it->first);
    add_waiter(it->first, it->second, deadline, std::move(waiter));
    return {.admission = order_admission::run, .response = nullptr};
}

void order_shard::add_waiter(const key& order, order_entry& entry, instant deadline, order_waiter waiter) {
    const auto number = next_waiter_++;
    entry.running->waiters.push_back({.number = number, .waiter = std::move(waiter)});
    deadlines_.push({.at = deadline, .order = order, .number = number});
}

void order_shard::complete(const key& order, order_entry& entry, order_state state, order_response response,
                           completed_waiters& out) {
    const auto shared = std::make_shared<const order_response>(std::move(response));
    for (auto& it : entry.running->waiters) {
        out.emplace_back(std::move(it.waiter), shared);
    }
    entry.running.reset();
    entry.state = state;
    entry.response = record(order, shared);
    enforce_byte_limit();
}

shared_response order_shard::record(const key& order, shared_response response) {
    if (response->body.size() > options_.recordable_bytes) {
        response = std::make_shared<const order_response>(without_body(*response));
    }
    counters_.response_bytes += variable_bytes(*response);
    if (!response->body.empty() || !response->headers.empty()) {
        recorded_.push_back(order);
    }
    return response;
}

void order_shard::enforce_byte_limit() {
    while (!recorded_.empty() &&
           (counters_.response_bytes > options_.max_bytes || !entries_.contains(recorded_.front()))) {
        strip_oldest_response();
    }
}

void order_shard::strip_oldest_response() {
    const auto it = entries_.find(recorded_.front());
    recorded_.pop_front();
    if (it == entries_.end()) {
        return;
    }
    auto& response = it->second.response;
    counters_.response_bytes -= variable_bytes(*response);
    response = std::make_shared<const order_response>(without_body(*response));
    counters_.response_bytes += variable_bytes(*response);
    ++counters_.stripped;
}

void order_shard::expire_waiters(completed_waiters& out) {
    while (!deadlines_.empty() && deadlines_.top().at <= now_) {
        const auto it = deadlines_.top();
        deadlines_.pop();
        expire_waiter(it, out);
    }
}

void order_shard::expire_waiter(const waiter_deadline& it, completed_waiters& out) {
    const auto found = entries_.find(it.order);
    if (found == entries_.end() || found->second.running == nullptr) {
        return;
    }
    auto& entry = found->second;
    if (entry.state == order_state::pending && entry.running->deadline <= now_) {
        complete(it.order, entry, order_state::refused,
                 {.verdict = run_verdict::not_run,
                  .status = http_unavailable,
                  .reason = "deadline passed before dispatch"},
                 out);
        return;
    }
    auto& waiters = entry.running->waiters;
    const auto waiter = std::ranges::find(waiters, it.number, &running_order::registered_waiter::number);
    if (waiter != waiters.end()) {
        out.emplace_back(std::move(waiter->waiter),
                         make_response(run_verdict::may_have_run, http_gateway_timeout,
                                       "deadline passed while the order was running"));
        waiters.erase(waiter);
    }
}

void order_shard::drop_expired(std::size_t max_count) {
    const auto slot = expiry_slot(now_);
    while (max_count > 0 && !expiries_.empty() && expiries_.begin()->first <= slot) {
        auto& keys = expiries_.begin()->second;
        for (; max_count > 0 && !keys.empty(); --max_count) {
            if (!drop_ended(keys.back())) {
                expiries_[slot + 1].push_back(keys.back());
            }
            keys.pop_back();
        }
        if (keys.empty()) {
            expiries_.erase(expiries_.begin());
        }
    }
}

bool order_shard::drop_ended(const key& order) {
    const auto it = entries_.find(order);
    if (it->second.running != nullptr) {
        return false;
    }
    counters_.response_bytes -= variable_bytes(*it->second.response);
    entries_.erase(it);
    return true;
}

} // namespace berylcrank
