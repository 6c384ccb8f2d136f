#include "standins/upstream/worker.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylcrank::standins {

namespace {

// Keys beyond this are not counted, so that a long load run fills neither the memory nor `GET /executions`.
constexpr std::size_t max_caller_keys = 2'000'000;
constexpr std::size_t max_request_ids = 10'000;

millis timeout_of(const http_request& it) {
    const auto text = find_header(it.headers, "Berylcrank-Timeout-Ms");
    std::int64_t ms = 0;
    if (!text || !absl::SimpleAtoi(absl::string_view{text->data(), text->size()}, &ms)) {
        return millis{std::int64_t{86'400'000}};
    }
    return millis{ms};
}

} // namespace

struct worker::job {
    enum class phase : std::uint8_t { waiting, running, over };

    work_key key;
    on_end end;
    steady::time_point deadline;
    phase state{phase::waiting}; ///< Guarded by the worker's lock.
    millis service;
};

worker::worker(const worker_settings& it, std::uint64_t incarnation)
    : settings_(it), incarnation_(incarnation), random_(std::make_unique<seeded_random>(it.seed)) {}

void worker::submit(const std::shared_ptr<http_exchange>& exchange, work_key key, on_end end) {
    const auto it = std::make_shared<job>();
    it->key = std::move(key);
    it->end = std::move(end);
    it->deadline = steady::now() + timeout_of(exchange->request()).to_chrono();
    std::optional<job_end> refused;
    bool is_running = false;
    {
        const lock_guard hold(mutex_);
        refused = admit(it);
        is_running = it->state == job::phase::running;
    }
    if (refused) {
        it->end(*refused);
        return;
    }
    if (is_running) {
        run(it);
    }
    exchange->set_on_disconnect([this, weak = std::weak_ptr<job>(it)] {
        if (const auto held_job = weak.lock()) {
            cancel(held_job);
        }
    });
}

std::optional<job_end> worker::admit(const std::shared_ptr<job>& it) {
    ++counters_.received;
    counters_.received_in_drain += settings_.drain ? 1 : 0;
    if (settings_.fail_fast) {
        ++counters_.failed_fast;
        return job_end::failed_fast;
    }
    const bool has_slot = running_ < settings_.slots;
    if (settings_.shed || (!has_slot && waiting_.size() >= settings_.queue)) {
        ++counters_.shed;
        return job_end::shed;
    }
    if (is_cold() && held() >= settings_.cold_concurrency) {
        ++counters_.cold_violations;
    }
    if (has_slot) {
        it->state = job::phase::running;
        ++running_;
    } else {
        waiting_.push_back(it);
    }
    counters_.max_in_flight = std::max(counters_.max_in_flight, held());
    note_change();
    return std::nullopt;
}

void worker::run(const std::shared_ptr<job>& it) {
    auto end = job_end::completed;
    {
        const lock_guard hold(mutex_);
        ++counters_.executed;
        count_execution(it->key);
        it->service = draw_service();
        const auto left = millis::from_micros(
            std::chrono::duration_cast<std::chrono::microseconds>(it->deadline - steady::now()).count());
        if (left < it->service) {
            it->service = left;
            end = job_end::expired;
        }
    }
    if (it->service <= millis{}) {
        complete(it, end);
    } else {
        timers_.call_after(it->service, [this, it, end] { complete(it, end); });
    }
}

void worker::count_execution(const work_key& key) {
    const auto limit = key.is_caller_chosen ? max_caller_keys : max_request_ids;
    if (!key.text.empty() && executions_.size() < limit) {
        counters_.repeated += executions_[key.text]++ != 0 ? 1 : 0;
    }
}

void worker::complete(const std::shared_ptr<job>& it, job_end end) {
    {
        const lock_guard hold(mutex_);
        if (it->state != job::phase::running) {
            return;
        }
        it->state = job::phase::over;
        --running_;
        ++(end == job_end::completed ? counters_.completed : counters_.expired_running);
        ++served_since_cold_;
        note_change();
    }
    std::exchange(it->end, nullptr)(end);
    run_next();
}

void worker::cancel(const std::shared_ptr<job>& it) {
    {
        const lock_guard hold(mutex_);
        const auto before = std::exchange(it->state, job::phase::over);
        if (before == job::phase::over) {
            return;
        }
        if (before == job::phase::waiting) {
            ++counters_.cancelled_waiting;
            std::erase(waiting_, it);
        } else {
            ++counters_.cancelled_running;
            --running_;
        }
        note_change();
    }
    it->end = nullptr;
    run_next();
}

std::shared_ptr<worker::job> worker::next_job(std::vector<std::shared_ptr<job>>& expired) {
    while (running_ < settings_.slots && !waiting_.empty()) {
        auto it = std::move(waiting_.front());
        waiting_.pop_front();
        if (it->deadline > steady::now()) {
            it->state = job::phase::running;
            ++running_;
            return it;
        }
        it->state = job::phase::over;
        ++counters_.expired;
        expired.push_back(std::move(it));
    }
    note_change();
    return nullptr;
}

void worker::run_next() {
    std::vector<std::shared_ptr<job>> expired;
    std::shared_ptr<job> next;
    {
        const lock_guard hold(mutex_);
        next = next_job(expired);
    }
    for (const auto& it : expired) {
        std::exchange(it->end, nullptr)(job_end::shed);
    }
    if (next) {
        run(next);
    }
}

millis worker::draw_service() {
    double ms = settings_.service_ms * settings_.slow_factor * (is_cold() ? settings_.cold_slow_factor : 1.0);
    if (settings_.exponential && ms > 0) {
        ms *= -std::log(1.0 - random_->unit());
    }
    return millis::from_value(ms);
}

bool worker::is_cold() const {
    return served_since_cold_ < settings_.warm_requests;
}

std::uint64_t worker::held() const {
    return running_ + waiting_.size();
}

worker::sample worker::current() const {
    return {.at = steady::now(),
            .in_flight = held(),
            .state = settings_.drain ? "draining"
                     : is_cold()     ? "cold"
                                     : "warm"};
}

void worker::note_change() {
    if (settings_.report_age_ms <= 0) {
        history_.clear();
        return;
    }
    history_.push_back(current());
    const auto limit = steady::now() - millis::from_value(settings_.report_age_ms).to_chrono();
    while (history_.size() > 1 && history_[1].at <= limit) {
        history_.pop_front();
    }
}

std::string worker::load_report() {
    const lock_guard hold(mutex_);
    auto it = current();
    if (!history_.empty()) {
        note_change();
        it = history_.front();
    }
    const auto in_flight =
        settings_.lie_in_flight >= 0 ? settings_.lie_in_flight : static_cast<std::int64_t>(it.in_flight);
    return absl::StrCat("in_flight=", in_flight, ";slots=", settings_.slots, ";state=", it.state,
                        ";incarnation=", absl::Hex(incarnation_, absl::kZeroPad16));
}

worker_settings worker::settings() {
    const lock_guard hold(mutex_);
    return settings_;
}

void worker::set_settings(const worker_settings& it) {
    const lock_guard hold(mutex_);
    if (it.seed != settings_.seed) {
        random_ = std::make_unique<seeded_random>(it.seed);
    }
    settings_ = it;
    note_change();
}

void worker::cool(bool is_restart) {
    const lock_guard hold(mutex_);
    served_since_cold_ = 0;
    if (is_restart) {
        incarnation_ = entropy();
    }
    note_change();
}

std::string worker::take_fault(std::string_view path) {
    const lock_guard hold(mutex_);
    if (settings_.fault.empty() || settings_.fault_count == 0 ||
        path.find(settings_.fault_path) == std::string_view::npos) {
        return {};
    }
    settings_.fault_count -= settings_.fault_count > 0 ? 1 : 0;
    ++counters_.faults;
    return settings_.fault;
}

void worker::count_probe() {
    const lock_guard hold(mutex_);
    ++counters_.probes;
}

worker_counters worker::counters() {
    const lock_guard hold(mutex_);
    return counters_;
}

std::uint64_t worker::executions(const std::string& key) {
    const lock_guard hold(mutex_);
    const auto it = executions_.find(key);
    return it == executions_.end() ? 0 : it->second;
}

std::uint64_t worker::in_flight() {
    const lock_guard hold(mutex_);
    return held();
}

nlohmann::json worker::all_executions() {
    const lock_guard hold(mutex_);
    auto it = nlohmann::json::object();
    for (const auto& [key, n] : executions_) {
        it[key] = n;
    }
    return it;
}

} // namespace berylcrank::standins
