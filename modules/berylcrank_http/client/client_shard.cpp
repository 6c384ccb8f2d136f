#include "modules/berylcrank_http/client/client_shard.h"

#include <algorithm>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace berylcrank {

namespace {

// Step in which stalled and overdue attempts are looked for.
constexpr std::chrono::milliseconds check_step{25};
// Idle easy handles kept for later attempts; each holds a receive buffer of 64 KiB.
constexpr std::size_t max_spare = 256;
// Idle connections kept by one thread. libcurl's default of four per transfer in progress is too few after a
// burst.
constexpr long max_idle_connections = 4096;

} // namespace

client_shard::client_shard(const upstream_client::options& it, event_loop& loop)
    : options_(it), loop_(loop), multi_(curl_multi_init()) {
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_idle_connections);
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(it.connections_per_upstream));
}

client_shard::~client_shard() {
    spare_.clear();
    curl_multi_cleanup(multi_);
}

void client_shard::open() {
    loop_.call([this] { number_ = loop_.add(*this); });
}

void client_shard::close() {
    loop_.call([this] { end(); });
}

void client_shard::end() {
    {
        const lock_guard hold(mutex_);
        is_closed_ = true;
        taken_.swap(orders_);
    }
    for (const auto& it : taken_) {
        if (it.what == command::start) {
            active_.insert(it.call);
        }
    }
    taken_.clear();
    while (!active_.empty()) {
        finish(*active_.begin(), CURLE_OK, attempt_end::cancelled);
    }
    spare_.clear();
    curl_multi_cleanup(multi_); // Closes idle connections, which calls `on_socket`.
    multi_ = nullptr;
    loop_.remove(number_);
}

bool client_shard::post(command what, std::shared_ptr<curl_call> call) {
    bool is_first = false;
    {
        const lock_guard hold(mutex_);
        if (is_closed_) {
            return false;
        }
        is_first = orders_.empty();
        orders_.push_back({.what = what, .call = std::move(call)});
    }
    if (is_first) {
        loop_.wake();
    }
    return true;
}

void client_shard::on_ready(int fd, std::uint32_t events) {
    const auto found = sockets_.find(fd);
    if (found == sockets_.end()) {
        return; // Closed by an earlier event of the same wait.
    }
    if (found->second.is_parked) {
        // The upstream closes the connection or sends what nobody asked for; libcurl finds out before reuse.
        loop_.unwatch(fd);
        sockets_.erase(found);
        return;
    }
    act(fd, ((events & (EPOLLIN | EPOLLHUP)) != 0 ? CURL_CSELECT_IN : 0) |
                ((events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
                ((events & EPOLLERR) != 0 ? CURL_CSELECT_ERR : 0));
}

std::optional<event_handler::time_point> client_shard::do_due(time_point /*now*/) {
    run_orders();
    run_timer();
    finish_done();
    if (active_.empty()) {
        return std::nullopt;
    }
    finish_overdue();
    return timer_ ? std::min(next_check_, *timer_) : next_check_;
}

void client_shard::act(curl_socket_t socket, int events) {
    int running = 0;
    curl_multi_socket_action(multi_, socket, events, &running);
}

void client_shard::run_timer() {
    while (timer_ && *timer_ <= steady::now()) {
        timer_.reset();
        act(CURL_SOCKET_TIMEOUT, 0);
    }
}

void client_shard::run_orders() {
    {
        const lock_guard hold(mutex_);
        taken_.swap(orders_);
    }
    for (const auto& [what, call] : taken_) {
        if (what == command::start) {
            start(call);
        } else if (!active_.contains(call)) {
            continue; // It has ended meanwhile.
        } else if (what == command::resume) {
            call->transfer_->resume();
        } else {
            finish(call, CURLE_OK, attempt_end::cancelled);
        }
    }
    taken_.clear();
}

void client_shard::start(const std::shared_ptr<curl_call>& call) {
    if (spare_.empty()) {
        call->transfer_ = std::make_unique<transfer>(options_);
    } else {
        call->transfer_ = std::move(spare_.back());
        spare_.pop_back();
    }
    auto& it = *call->transfer_;
    active_.insert(call);
    if (!it.prepare(call->request_, *call->observer_, call->started_)) {
        finish(call, CURLE_OK, attempt_end::denied);
        return;
    }
    // libcurl compares whole seconds and keeps a connection of exactly this age.
    constexpr long default_age_s = 118;
    const long age_s = std::max<long>(1, options_.reuse_within.count() / 1000 - 1);
    curl_easy_setopt(it.handle(), CURLOPT_MAXAGE_CONN, call->request_.idempotent ? default_age_s : age_s);
    curl_easy_setopt(it.handle(), CURLOPT_PRIVATE, call.get());
    curl_easy_setopt(it.handle(), CURLOPT_OPENSOCKETFUNCTION, &on_open);
    curl_easy_setopt(it.handle(), CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(it.handle(), CURLOPT_CLOSESOCKETFUNCTION, &on_close);
    curl_easy_setopt(it.handle(), CURLOPT_CLOSESOCKETDATA, this);
    curl_multi_add_handle(multi_, it.handle());
}

void client_shard::finish_done() {
    int left = 0;
    while (CURLMsg* const message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_call* found = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &found);
        finish(found->shared_from_this(), message->data.result, std::nullopt);
    }
}

void client_shard::finish_overdue() {
    const auto now = steady::now();
    if (now < next_check_) {
        return;
    }
    next_check_ = now + check_step;
    std::vector<std::pair<std::shared_ptr<curl_call>, attempt_end>> due;
    for (const auto& it : active_) {
        if (const auto end = it->transfer_->overdue(now)) {
            due.emplace_back(it, *end);
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
        // Closes the connection if the answer is not complete.
        curl_multi_remove_handle(multi_, call->transfer_->handle());
        result = call->transfer_->finish(code, forced);
        if (spare_.size() < max_spare) {
            spare_.push_back(std::move(call->transfer_));
        }
        call->transfer_.reset();
    }
    const auto observer = std::move(call->observer_);
    call.reset();
    observer->on_done(result);
}

int client_shard::on_socket(CURL* /*easy*/, curl_socket_t socket, int what, void* self, void* /*known*/) {
    auto& it = *static_cast<client_shard*>(self);
    auto& entry = it.sockets_[socket];
    if (what == CURL_POLL_REMOVE) {
        // Two system calls a request are saved by leaving an idle connection as it is.
        entry.is_parked = true;
        return 0;
    }
    const auto events =
        ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
    if (entry.events != events) {
        it.loop_.watch(it.number_, socket, events);
    }
    entry = {.events = events, .is_parked = false};
    return 0;
}

curl_socket_t client_shard::on_open(void* self, curlsocktype /*purpose*/, curl_sockaddr* address) {
    const int socket =
        ::socket(address->family, address->socktype | SOCK_CLOEXEC | SOCK_NONBLOCK, address->protocol);
    // The number of a socket that was closed past `on_close` may come again.
    static_cast<client_shard*>(self)->sockets_.erase(socket);
    return socket < 0 ? CURL_SOCKET_BAD : socket;
}

int client_shard::on_close(void* self, curl_socket_t socket) {
    auto& it = *static_cast<client_shard*>(self);
    if (it.sockets_.erase(socket) != 0) {
        it.loop_.unwatch(socket);
    }
    return ::close(socket);
}

int client_shard::on_timer(CURLM* /*multi*/, long timeout_ms, void* self) {
    auto& it = *static_cast<client_shard*>(self);
    if (timeout_ms < 0) {
        it.timer_.reset();
    } else {
        it.timer_ = steady::now() + std::chrono::milliseconds(timeout_ms);
    }
    return 0;
}

curl_call::curl_call(std::weak_ptr<client_shard> shard, upstream_request request,
                     std::shared_ptr<upstream_observer> observer)
    : shard_(std::move(shard)), started_(transfer::steady::now()), request_(std::move(request)),
      observer_(std::move(observer)) {}

void curl_call::resume() {
    if (const auto it = shard_.lock()) {
        it->post(client_shard::command::resume, shared_from_this());
    }
}

void curl_call::cancel() {
    if (const auto it = shard_.lock()) {
        it->post(client_shard::command::cancel, shared_from_this());
    }
}

} // namespace berylcrank
