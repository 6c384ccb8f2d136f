#include "standins/platform_worker/worker_connection.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <csignal>
#include <cstdlib>
#include <utility>

namespace berylcrank::standin {

worker::worker(boost::asio::io_context& io, worker_behaviour behaviour, std::uint16_t port)
    : io_(io), acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), port}),
      behaviour_(std::move(behaviour)) {
    accept_next();
}

void worker::accept_next() {
    acceptor_.async_accept([this](const auto& ec, boost::asio::ip::tcp::socket socket) {
        if (ec) {
            return;
        }
        socket.non_blocking(true);
        read(std::make_shared<connection>(std::move(socket)));
        accept_next();
    });
}

void worker::read(const connection_ptr& it) {
    it->socket.async_read_some(boost::asio::buffer(it->buf), [this, it](const auto& ec, std::size_t n) {
        if (ec) {
            it->closed = true;
            return;
        }
        if (!it->parser) {
            it->parser = std::make_unique<request_parser>();
        }
        boost::beast::error_code error;
        it->parser->feed({it->buf.data(), n}, error);
        if (error) {
            it->socket.close();
            return;
        }
        if (behaviour_.mode == "early-reset" && it->parser->is_header_done() && !it->parser->is_done()) {
            reset_early(it);
            return;
        }
        if (it->parser->is_done()) {
            auto head = std::move(it->parser->head);
            it->parser.reset();
            handle_request(it, std::move(head));
        }
        read(it);
    });
}

std::string worker::load() const {
    return absl::StrCat(running_, ",", waiting_.size(), ",", behaviour_.slots, ",", behaviour_.slowness);
}

std::string worker::response(const request_head& head, int status, const std::string& more,
                             const std::string& body) const {
    return absl::StrCat("HTTP/1.1 ", status, " Status\r\nRequest-Id: ", header(head, "Request-Id"),
                        "\r\nServer-Load: ", load(), "\r\n",
                        behaviour_.leaving ? "Server-Leaving: 1\r\n" : "", more,
                        "Content-Length: ", body.size(), "\r\n\r\n", body);
}

std::string worker::run_list() const {
    std::string list;
    for (const auto& [id, n] : runs_) {
        absl::StrAppend(&list, id, " ", n, "\n");
    }
    return list;
}

std::string worker::received_list() const {
    return absl::StrJoin(received_, "\n");
}

void worker::record_received(const request_head& head) {
    constexpr std::size_t max_received = 256;
    std::string text = absl::StrCat(head.method, " ", head.target, "\n");
    for (const auto& [name, value] : head.headers) {
        absl::StrAppend(&text, name, ": ", value, "\n");
    }
    received_.push_back(std::move(text));
    if (received_.size() > max_received) {
        received_.pop_front();
    }
}

bool worker::report(const connection_ptr& it, const request_head& head) {
    if (head.target == "/runs") {
        send(it, response(head, 200, "", run_list()));
    } else if (head.target == "/received-in-pause") {
        send(it, response(head, 200, "", std::to_string(received_in_pause_)));
    } else if (head.target == "/peak") {
        send(it, response(head, 200, "", std::to_string(peak_)));
    } else if (head.target == "/received-headers") {
        send(it, response(head, 200, "", received_list()));
    } else {
        return false;
    }
    return true;
}

void worker::handle_request(const connection_ptr& it, request_head head) {
    if (head.target.starts_with("/control")) {
        update_behaviour(head.target);
        send(it, response(head, 200, "", ""));
        return;
    }
    if (report(it, head)) {
        return;
    }
    record_received(head);
    count_in_pause();
    const auto target = header(head, "Target-Instance");
    if (!target.empty() && target != behaviour_.id) {
        send(it, response(head, 421, absl::StrCat("Not-Executed: 1\r\nInstance-Id: ", behaviour_.id, "\r\n"),
                          ""));
        return;
    }
    if (head.target == "/healthz") {
        answer_health_check(it, head);
        return;
    }
    count_arrival();
    if (behaviour_.mode.starts_with("shed-again") && sheds_again(it, head)) {
        return;
    }
    if (behaviour_.mode == "shed" || static_cast<int>(waiting_.size()) >= behaviour_.queue) {
        shed(it, head);
        return;
    }
    waiting_.push_back({.from = it, .head = std::move(head)});
    start_next();
}

void worker::answer_health_check(const connection_ptr& it, const request_head& head) {
    if (behaviour_.mode == "endless-health") {
        send_endlessly(it, "HTTP/1.1 200 OK\r\n\r\n", "x");
        return;
    }
    if (behaviour_.mode == "endless-interim-health") {
        send_endlessly(it, "", interim_response);
        return;
    }
    const auto cold = behaviour_.warm_up_ms > 0 ? absl::StrCat("Warmup-Ms: ", behaviour_.warm_up_ms, "\r\n")
                                                : std::string();
    send(it, response(head, 200, absl::StrCat("Instance-Id: ", behaviour_.id, "\r\n", cold), ""));
}

void worker::count_in_pause() {
    const auto now = std::chrono::steady_clock::now();
    received_in_pause_ += now >= pause_from_ && now < pause_until_ ? 1 : 0;
}

void worker::count_arrival() {
    const auto now = std::chrono::steady_clock::now();
    arrivals_.push_back(now);
    while (now - arrivals_.front() >= std::chrono::seconds(1)) {
        arrivals_.pop_front();
    }
    peak_ = std::max(peak_, arrivals_.size());
}

void worker::shed(const connection_ptr& it, const request_head& head) {
    constexpr std::chrono::milliseconds pause_delay{500};
    int seconds = 0;
    if (!absl::SimpleAtoi(behaviour_.retry_after, &seconds)) {
        send(it, response(head, 503, "Not-Executed: 1\r\n", ""));
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now >= pause_until_) {
        pause_from_ = now + pause_delay;
        pause_until_ = now + std::chrono::seconds(seconds);
    }
    send(it, response(head, 503, absl::StrCat("Not-Executed: 1\r\nRetry-After: ", seconds, "\r\n"), ""));
}

// Sheds every other request of a connection, and repeats each refusal when the next request arrives.
bool worker::sheds_again(const connection_ptr& it, const request_head& head) {
    if (!it->last_refusal.empty()) {
        send(it, std::exchange(it->last_refusal, {}));
        return false;
    }
    const auto refusal = response(head, 503, "Not-Executed: 1\r\n", "");
    const auto unnamed = absl::StrCat("HTTP/1.1 503 Status\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    it->last_refusal = behaviour_.mode == "shed-again-unnamed" ? unnamed : refusal;
    send(it, refusal);
    return true;
}

void worker::start_next() {
    while (running_ < behaviour_.slots && !waiting_.empty()) {
        const auto it = waiting_.front();
        waiting_.pop_front();
        if (!it.from->closed) {
            run(it);
        }
    }
}

void worker::run(const job& it) {
    if (!behaviour_.crash_target.empty() && it.head.target == behaviour_.crash_target) {
        std::_Exit(EXIT_FAILURE);
    }
    ++running_;
    ++runs_[header(it.head, "Request-Id")];
    if (!behaviour_.hang_target.empty() && it.head.target == behaviour_.hang_target) {
        std::raise(SIGSTOP);
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(behaviour_.work_ms * behaviour_.slowness / 100));
    timer->async_wait([this, it, timer](const auto&) {
        --running_;
        finish(it);
        start_next();
    });
}

void worker::update_behaviour(const std::string& target) {
    const auto at = target.find('?');
    if (at == std::string::npos) {
        return;
    }
    for (const absl::string_view part : absl::StrSplit(absl::string_view(target).substr(at + 1), '&')) {
        const std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
        behaviour_.set(pair.first, pair.second);
        if (pair.first == "warm-up") {
            arrivals_.clear();
            peak_ = 0;
        }
    }
}

} // namespace berylcrank::standin
