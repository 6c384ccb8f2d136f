#include "modules/berylcrank_http/client/client_shard.h"

#include <algorithm>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace berylcrank {

namespace {

// Interval between checks for stalled and timed-out attempts.
constexpr std::chrono::milliseconds check_interval{25};
// Idle easy handles kept for later attempts. Each holds a receive buffer of 64 KiB.
constexpr std::size_t max_idle_transfers = 256;
// Idle connections kept by one thread. libcurl's default of four per running transfer is too few after a
// burst.
constexpr long max_idle_connections = 4096;

} // namespace

client_shard::client_shard(const upstream_client::options& opts, event_loop& loop)
    : options_(opts), loop_(loop), multi_(curl_multi_init()) {
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_idle_connections);
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(opts.connections_per_upstream));
}

client_shard::~client_shard() {
    idle_transfers_.clear();
    curl_multi_cleanup(multi_);
}

void client_shard::open() {
    loop_.call([this] { handler_id_ = loop_.add(*this); });
}

void client_shard::close() {
    loop_.call([this] { shut_down(); });
}

void client_shard::shut_down() {
    {
        const lock_guard hold(mutex_);
        is_closed_ = true;
        running_commands_.swap(commands_);
    }
    for (const auto& queued : running_commands_) {
        if (queued.type == command::start) {
            active_.insert(queued.call);
        }
    }
    running_commands_.clear();
    while (!active_.empty()) {
        finish(*active_.begin(), CURLE_OK, attempt_end::cancelled);
    }
    idle_transfers_.clear();
    curl_multi_cleanup(multi_); // Closes the idle connections, which calls `on_socket`.
    multi_ = nullptr;
    loop_.remove(handler_id_);
}

bool client_shard::post(command type, std::shared_ptr<curl_call> call) {
    bool is_first = false;
    {
        const lock_guard hold(mutex_);
        if (is_closed_) {
            return false;
        }
        is_first = commands_.empty();
        commands_.push_back({.type = type, .call = std::move(call)});
    }
    if (is_first) {
        loop_.wake();
    }
    return true;
}

void client_shard::on_ready(int fd, std::uint32_t events) {
    const auto found = sockets_.find(fd);
    if (found == sockets_.end()) {
        return; // Closed while an earlier event of the same batch was processed.
    }
    if (found->second.is_idle) {
        // The upstream closed the idle connection or sent unexpected data. libcurl detects both before it
        // reuses the connection.
        loop_.unwatch(fd);
        sockets_.erase(found);
        return;
    }
    run_socket_action(fd, ((events & (EPOLLIN | EPOLLHUP)) != 0 ? CURL_CSELECT_IN : 0) |
                              ((events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
                              ((events & EPOLLERR) != 0 ? CURL_CSELECT_ERR : 0));
}

std::optional<event_handler::time_point> client_shard::process_due(time_point /*now*/) {
    run_commands();
    run_timer();
    finish_completed();
    if (active_.empty()) {
        return std::nullopt;
    }
    finish_timed_out();
    return curl_timer_ ? std::min(next_check_, *curl_timer_) : next_check_;
}

void client_shard::run_socket_action(curl_socket_t socket, int events) {
    int running = 0;
    curl_multi_socket_action(multi_, socket, events, &running);
}

void client_shard::run_timer() {
    while (curl_timer_ && *curl_timer_ <= steady::now()) {
        curl_timer_.reset();
        run_socket_action(CURL_SOCKET_TIMEOUT, 0);
    }
}

void client_shard::run_commands() {
    {
        const lock_guard hold(mutex_);
        running_commands_.swap(commands_);
    }
    for (const auto& [type, call] : running_commands_) {
        if (type == command::start) {
            start(call);
        } else if (!active_.contains(call)) {
            continue; // The attempt has already ended.
        } else if (type == command::resume) {
            call->transfer_->resume();
        } else {
            finish(call, CURLE_OK, attempt_end::cancelled);
        }
    }
    running_commands_.clear();
}

void client_shard::start(const std::shared_ptr<curl_call>& call) {
    if (idle_transfers_.empty()) {
        call->transfer_ = std::make_unique<transfer>(options_);
    } else {
        call->transfer_ = std::move(idle_transfers_.back());
        idle_transfers_.pop_back();
    }
    auto& attempt = *call->transfer_;
    active_.insert(call);
    if (!attempt.prepare(call->request_, *call->observer_, call->started_)) {
        finish(call, CURLE_OK, attempt_end::denied);
        return;
    }
    // libcurl compares whole seconds and still reuses a connection of exactly this age.
    constexpr long default_age_s = 118;
    const long age_s = std::max<long>(1, options_.max_reuse_idle.count() / 1000 - 1);
    curl_easy_setopt(attempt.handle(), CURLOPT_MAXAGE_CONN,
                     call->request_.idempotent ? default_age_s : age_s);
    curl_easy_setopt(attempt.handle(), CURLOPT_PRIVATE, call.get());
    curl_easy_setopt(attempt.handle(), CURLOPT_OPENSOCKETFUNCTION, &on_open_socket);
    curl_easy_setopt(attempt.handle(), CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(attempt.handle(), CURLOPT_CLOSESOCKETFUNCTION, &on_close_socket);
    curl_easy_setopt(attempt.handle(), CURLOPT_CLOSESOCKETDATA, this);
    curl_multi_add_handle(multi_, attempt.handle());
}

void client_shard::finish_completed() {
    int messages_left = 0;
    while (CURLMsg* const message = curl_multi_info_read(multi_, &messages_left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_call* call = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
        finish(call->shared_from_this(), message->data.result, std::nullopt);
    }
}

void client_shard::finish_timed_out() {
    const auto now = steady::now();
    if (now < next_check_) {
        return;
    }
    next_check_ = now + check_interval;
    std::vector<std::pair<std::shared_ptr<curl_call>, attempt_end>> due;
    for (const auto& call : active_) {
        if (const auto end = call->transfer_->check_timeouts(now)) {
            due.emplace_back(call, *end);
        }
    }
    for (const auto& [call, end] : due) {
        finish(call, CURLE_OK, end);
    }
}

void client_shard::finish(std::shared_ptr<curl_call> call, CURLcode code, std::optional<attempt_end> forced) {
    active_.erase(call);
    attempt_result result{.end = attempt_end::cancelled, .verdict = run_verdict::not_run};
    if (call->transfer_) {
        // Closes the connection if the response is incomplete.
        curl_multi_remove_handle(multi_, call->transfer_->handle());
        result = call->transfer_->finish(code, forced);
        if (idle_transfers_.size() < max_idle_transfers) {
            idle_transfers_.push_back(std::move(call->transfer_));
        }
        call->transfer_.reset();
    }
    const auto observer = std::move(call->observer_);
    call.reset();
    observer->on_done(result);
}

int client_shard::on_socket(CURL* /*easy*/, curl_socket_t socket, int what, void* self,
                            void* /*socket_data*/) {
    auto& shard = *static_cast<client_shard*>(self);
    auto& entry = shard.sockets_[socket];
    if (what == CURL_POLL_REMOVE) {
        // Leaving an idle connection in the epoll set saves two system calls per request.
        entry.is_idle = true;
        return 0;
    }
    const auto events =
        ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
    if (entry.events != events) {
        shard.loop_.watch(shard.handler_id_, socket, events);
    }
    entry = {.events = events, .is_idle = false};
    return 0;
}

curl_socket_t client_shard::on_open_socket(void* self, curlsocktype /*purpose*/, curl_sockaddr* address) {
    const int socket =
        ::socket(address->family, address->socktype | SOCK_CLOEXEC | SOCK_NONBLOCK, address->protocol);
    // The kernel can reuse the number of a socket that was closed without `on_close_socket`.
    static_cast<client_shard*>(self)->sockets_.erase(socket);
    return socket < 0 ? CURL_SOCKET_BAD : socket;
}

int client_shard::on_close_socket(void* self, curl_socket_t socket) {
    auto& shard = *static_cast<client_shard*>(self);
    if (shard.sockets_.erase(socket) != 0) {
        shard.loop_.unwatch(socket);
    }
    return ::close(socket);
}

int client_shard::on_timer(CURLM* /*multi*/, long timeout_ms, void* self) {
    auto& shard = *static_cast<client_shard*>(self);
    if (timeout_ms < 0) {
        shard.curl_timer_.reset();
    } else {
        shard.curl_timer_ = steady::now() + std::chrono::milliseconds(timeout_ms);
    }
    return 0;
}

curl_call::curl_call(std::weak_ptr<client_shard> shard, upstream_request request,
                     std::shared_ptr<upstream_observer> observer)
    : shard_(std::move(shard)), started_(transfer::steady::now()), request_(std::move(request)),
      observer_(std::move(observer)) {}

void curl_call::resume() {
    if (const auto shard = shard_.lock()) {
        shard->post(client_shard::command::resume, shared_from_this());
    }
}

void curl_call::cancel() {
    if (const auto shard = shard_.lock()) {
        shard->post(client_shard::command::cancel, shared_from_this());
    }
}

} // namespace berylcrank
