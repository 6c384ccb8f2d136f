#include "modules/berylcrank_http/loop/event_loop.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace berylcrank {

namespace {

constexpr std::uint64_t wake_key = ~0ULL;
// Maximum rounds in which handlers pass work to each other before descriptors are polled again.
constexpr int max_rounds = 8;

thread_local event_loop* current_loop = nullptr;

std::uint64_t event_key(unsigned handler_id, int fd) {
    return (static_cast<std::uint64_t>(handler_id) << 32U) | static_cast<std::uint32_t>(fd);
}

} // namespace

event_loop::event_loop()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)), wake_event_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    epoll_event event{.events = EPOLLIN, .data = {.u64 = wake_key}};
    epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_event_, &event);
    thread_ = std::thread([this] { run(); });
}

event_loop::~event_loop() {
    is_stopping_.store(true);
    wake();
    thread_.join();
    close(wake_event_);
    close(epoll_);
}

event_loop* event_loop::current() {
    return current_loop;
}

void event_loop::call(const std::function<void()>& function) {
    if (current_loop == this) {
        function();
        return;
    }
    std::unique_lock hold(mutex_);
    tasks_.push_back(&function);
    const auto number = ++tasks_posted_;
    wake();
    task_done_.wait(hold, [&] { return tasks_done_ >= number; });
}

unsigned event_loop::add(event_handler& handler) {
    handlers_.push_back(&handler);
    is_work_pending_ = true;
    return static_cast<unsigned>(handlers_.size() - 1);
}

void event_loop::remove(unsigned handler_id) {
    handlers_[handler_id] = nullptr; // Ids are not reused, so late events are ignored.
}

void event_loop::watch(unsigned handler_id, int fd, std::uint32_t events) {
    epoll_event event{.events = events, .data = {.u64 = event_key(handler_id, fd)}};
    if (epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event) != 0) {
        epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    }
}

void event_loop::unwatch(int fd) {
    epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
}

void event_loop::wake() {
    if (current_loop == this) {
        is_work_pending_ = true;
    } else if (!is_wake_pending_.exchange(true)) {
        eventfd_write(wake_event_, 1);
    }
}

void event_loop::run() {
    current_loop = this;
    while (!is_stopping_.load()) {
        run_tasks();
        wait(process_due());
    }
    run_tasks();
}

void event_loop::run_tasks() {
    std::vector<const std::function<void()>*> batch;
    {
        const lock_guard hold(mutex_);
        batch.swap(tasks_);
    }
    for (const auto* const task : batch) {
        (*task)();
    }
    if (!batch.empty()) {
        const lock_guard hold(mutex_);
        tasks_done_ += batch.size();
        task_done_.notify_all();
    }
}

std::optional<event_handler::time_point> event_loop::process_due() {
    std::optional<event_handler::time_point> wake_at;
    const auto now = std::chrono::steady_clock::now();
    for (int round = 0; round < max_rounds; ++round) {
        is_work_pending_ = false;
        wake_at.reset();
        for (auto* const handler : handlers_) {
            const auto due_at = handler == nullptr ? std::nullopt : handler->process_due(now);
            if (due_at && (!wake_at || *due_at < *wake_at)) {
                wake_at = due_at;
            }
        }
        if (!is_work_pending_) {
            return wake_at;
        }
    }
    return now;
}

void event_loop::wait(std::optional<event_handler::time_point> wake_at) {
    int wait_ms = -1;
    if (wake_at) {
        const auto left_ms =
            std::chrono::ceil<std::chrono::milliseconds>(*wake_at - std::chrono::steady_clock::now()).count();
        wait_ms = static_cast<int>(std::clamp<std::int64_t>(left_ms, 0, 60'000));
    }
    std::array<epoll_event, 128> events{};
    const int n = epoll_wait(epoll_, events.data(), events.size(), wait_ms);
    for (int i = 0; i < n; ++i) {
        const auto key = events[i].data.u64;
        if (key == wake_key) {
            eventfd_t ignored = 0;
            eventfd_read(wake_event_, &ignored);
            is_wake_pending_.store(false);
        } else if (auto* const handler = handlers_[key >> 32U]; handler != nullptr) {
            handler->on_ready(static_cast<int>(static_cast<std::uint32_t>(key)), events[i].events);
        }
    }
}

loop_group::loop_group(unsigned threads) {
    for (unsigned n = 0; n < std::max(1U, threads); ++n) {
        loops_.push_back(std::make_unique<event_loop>());
    }
}

} // namespace berylcrank
