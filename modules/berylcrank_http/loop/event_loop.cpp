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
// Rounds in which members hand work to each other before descriptors are looked at again.
constexpr int max_rounds = 8;

thread_local event_loop* current_loop = nullptr;

std::uint64_t key_of(unsigned member, int fd) {
    return (static_cast<std::uint64_t>(member) << 32U) | static_cast<std::uint32_t>(fd);
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

void event_loop::call(const std::function<void()>& what) {
    if (current_loop == this) {
        what();
        return;
    }
    std::unique_lock hold(mutex_);
    tasks_.push_back(&what);
    const auto number = ++tasks_added_;
    wake();
    task_done_.wait(hold, [&] { return tasks_done_ >= number; });
}

unsigned event_loop::add(event_handler& it) {
    members_.push_back(&it);
    is_due_again_ = true;
    return static_cast<unsigned>(members_.size() - 1);
}

void event_loop::remove(unsigned member) {
    members_[member] = nullptr; // Numbers are not used again, so late events find nothing.
}

void event_loop::watch(unsigned member, int fd, std::uint32_t events) {
    epoll_event event{.events = events, .data = {.u64 = key_of(member, fd)}};
    if (epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event) != 0) {
        epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    }
}

void event_loop::unwatch(int fd) {
    epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
}

void event_loop::wake() {
    if (current_loop == this) {
        is_due_again_ = true;
    } else if (!is_woken_.exchange(true)) {
        eventfd_write(wake_event_, 1);
    }
}

void event_loop::run() {
    current_loop = this;
    while (!is_stopping_.load()) {
        run_tasks();
        wait(do_due());
    }
    run_tasks();
}

void event_loop::run_tasks() {
    std::vector<const std::function<void()>*> taken;
    {
        const lock_guard hold(mutex_);
        taken.swap(tasks_);
    }
    for (const auto* const it : taken) {
        (*it)();
    }
    if (!taken.empty()) {
        const lock_guard hold(mutex_);
        tasks_done_ += taken.size();
        task_done_.notify_all();
    }
}

std::optional<event_handler::time_point> event_loop::do_due() {
    std::optional<event_handler::time_point> until;
    const auto now = std::chrono::steady_clock::now();
    for (int round = 0; round < max_rounds; ++round) {
        is_due_again_ = false;
        until.reset();
        for (auto* const it : members_) {
            const auto at = it == nullptr ? std::nullopt : it->do_due(now);
            if (at && (!until || *at < *until)) {
                until = at;
            }
        }
        if (!is_due_again_) {
            return until;
        }
    }
    return now;
}

void event_loop::wait(std::optional<event_handler::time_point> until) {
    int wait_ms = -1;
    if (until) {
        const auto left =
            std::chrono::ceil<std::chrono::milliseconds>(*until - std::chrono::steady_clock::now()).count();
        wait_ms = static_cast<int>(std::clamp<std::int64_t>(left, 0, 60'000));
    }
    std::array<epoll_event, 128> events{};
    const int n = epoll_wait(epoll_, events.data(), events.size(), wait_ms);
    for (int i = 0; i < n; ++i) {
        const auto key = events[i].data.u64;
        if (key == wake_key) {
            eventfd_t ignored = 0;
            eventfd_read(wake_event_, &ignored);
            is_woken_.store(false);
        } else if (auto* const it = members_[key >> 32U]; it != nullptr) {
            it->on_ready(static_cast<int>(static_cast<std::uint32_t>(key)), events[i].events);
        }
    }
}

loop_group::loop_group(unsigned threads) {
    for (unsigned n = 0; n < std::max(1U, threads); ++n) {
        loops_.push_back(std::make_unique<event_loop>());
    }
}

} // namespace berylcrank
