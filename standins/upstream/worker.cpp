#include "standins/upstream/worker.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylcrank::standins {

namespace {

// Further keys are not counted. This bounds the memory and the size of `GET /executions` in long load tests.
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
    enum class phase : std::uint8_t { waiting, running, finished };

    work_key key;
    completion_callback on_complete;
    steady::time_point deadline;
    phase state{phase::waiting}; ///< Guarded by the worker's mutex.
    millis service_time;
};

worker::worker(const worker_settings& it, std::uint64_t incarnation)
    : settings_(it), incarnation_(incarnation), random_(std::make_unique<seeded_random>(it.seed)) {}

void worker::submit(const std::shared_ptr<http_exchange>& exchange, work_key key,
                    completion_callback on_complete) {
    const auto it = std::make_shared<job>();
    it->key = std::move(key);
    it->on_complete = std::move(on_complete);
    it->deadline = steady::now() + timeout_of(exchange->request()).to_chrono();
    std::optional<job_outcome> refused;
    bool is_running = false;
    {
        const lock_guard hold(mutex_);
        refused = admit(it);
        is_running = it->state == job::phase::running;
    }
    if (refused) {
        it->on_complete(*refused);
        return;
    }
    if (is_running) {
        run(it);
    }
    exchange->set_on_disconnect([this, weak = std::weak_ptr<job>(it)] {
        if (const auto locked_job = weak.lock()) {
            cancel(locked_job);
        }
    });
}

std::optional<job_outcome> worker::admit(const std::shared_ptr<job>& it) {
    ++counters_.received;
    counters_.received_in_drain += settings_.drain ? 1 : 0;
    if (settings_.fail_fast) {
        ++counters_.failed_fast;
        return job_outcome::failed_fast;
    }
    const bool has_slot = running_ < settings_.slots;
    if (settings_.shed || (!has_slot && waiting_.size() >= settings_.queue)) {
        ++counters_.shed;
        return job_outcome::shed;
    }
    if (is_cold() && total_in_flight() >= settings_.cold_concurrency) {
        ++counters_.cold_violations;
    }
    if (has_slot) {
        it->state = job::phase::running;
        ++running_;
    } else {
        waiting_.push_back(it);
    }
    counters_.max_in_flight = std::max(counters_.max_in_flight, total_in_flight());
    record_sample();
    return std::nullopt;
}

void worker::run(const std::shared_ptr<job>& it) {
    auto outcome = job_outcome::completed;
    {
        const lock_guard hold(mutex_);
        ++counters_.executed;
        count_execution(it->key);
        it->service_time = draw_service_time();
        const auto left = millis::from_micros(
            std::chrono::duration_cast<std::chrono::microseconds>(it->deadline - steady::now()).count());
        if (left < it->service_time) {
            it->service_time = left;
            outcome = job_outcome::expired;
        }
    }
    if (it->service_time <= millis{}) {
        complete(it, outcome);
    } else {
        timers_.call_after(it->service_time, [this, it, outcome] { complete(it, outcome); });
    }
}

void worker::count_execution(const work_key& key) {
    const auto limit = key.is_caller_chosen ? max_caller_keys : max_request_ids;
    if (!key.text.empty() && executions_.size() < limit) {
        counters_.repeated += executions_[key.text]++ != 0 ? 1 : 0;
    }
}

void worker::complete(const std::shared_ptr<job>& it, job_outcome outcome) {
    {
        const lock_guard hold(mutex_);
        if (it->state != job::phase::running) {
            return;
        }
        it->state = job::phase::finished;
        --running_;
        ++(outcome == job_outcome::completed ? counters_.completed : counters_.expired_running);
        ++completed_since_cold_;
        record_sample();
    }
    std::exchange(it->on_complete, nullptr)(outcome);
    start_next();
}

void worker::cancel(const std::shared_ptr<job>& it) {
    {
        const lock_guard hold(mutex_);
        const auto before = std::exchange(it->state, job::phase::finished);
        if (before == job::phase::finished) {
            return;
        }
        if (before == job::phase::waiting) {
            ++counters_.cancelled_waiting;
            std::erase(waiting_, it);
        } else {
            ++counters_.cancelled_running;
            --running_;
        }
        record_sample();
    }
    it->on_complete = nullptr;
    start_next();
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
        it->state = job::phase::finished;
        ++counters_.expired;
        expired.push_back(std::move(it));
    }
    record_sample();
    return nullptr;
}

void worker::start_next() {
    std::vector<std::shared_ptr<job>> expired;
    std::shared_ptr<job> next;
    {
        const lock_guard hold(mutex_);
        next = next_job(expired);
    }
    for (const auto& it : expired) {
        std::exchange(it->on_complete, nullptr)(job_outcome::shed);
    }
    if (next) {
        run(next);
    }
}

millis worker::draw_service_time() {
    double ms = settings_.service_ms * settings_.slow_factor * (is_cold() ? settings_.cold_slow_factor : 1.0);
    if (settings_.exponential && ms > 0) {
        ms *= -std::log(1.0 - random_->unit());
    }
    return millis::from_value(ms);
}

bool worker::is_cold() const {
    return completed_since_cold_ < settings_.warm_requests;
}

std::uint64_t worker::total_in_flight() const {
    return running_ + waiting_.size();
}

worker::sample worker::current_sample() const {
    return {.at = steady::now(),
            .in_flight = total_in_flight(),
            .state = settings_.drain ? "draining"
                     : is_cold()     ? "cold"
                                     : "warm"};
}

void worker::record_sample() {
    if (settings_.report_age_ms <= 0) {
        history_.clear();
        return;
    }
    history_.push_back(current_sample());
    const auto limit = steady::now() - millis::from_value(settings_.report_age_ms).to_chrono();
    while (history_.size() > 1 && history_[1].at <= limit) {
        history_.pop_front();
    }
}

std::string worker::load_report() {
    const lock_guard hold(mutex_);
    auto it = current_sample();
    if (!history_.empty()) {
        record_sample();
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
    record_sample();
}

void worker::reset_to_cold(bool is_restart) {
    const lock_guard hold(mutex_);
    completed_since_cold_ = 0;
    if (is_restart) {
        incarnation_ = entropy();
    }
    record_sample();
}

std::string worker::consume_fault(std::string_view path) {
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
    return total_in_flight();
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
