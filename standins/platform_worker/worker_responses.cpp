#include "standins/platform_worker/worker_connection.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

namespace berylcrank::standin {

void worker::finish(const job& it) {
    const std::string body(behaviour_.body_bytes, 'b');
    const std::string signature = "Server-Signature: " + behaviour_.id + "\r\n";
    const auto& mode = behaviour_.mode;
    if (mode == "mute") {
        return;
    }
    if (mode == "slow-head") {
        send_slowly(it.from, "HTTP/1.1 200 OK\r\nFiller: ");
        return;
    }
    if (mode.starts_with("endless") && !mode.ends_with("health")) {
        finish_endlessly(it);
        return;
    }
    if (mode == "reset") {
        it.from->socket.set_option(boost::asio::socket_base::linger(true, 0));
        it.from->socket.close();
        return;
    }
    if (mode == "shed-late") {
        shed(it.from, it.head);
        return;
    }
    if (mode == "error") {
        send(it.from, response(it.head, 500, signature, "failed"));
        return;
    }
    if (mode == "ran-with-status") {
        send(it.from, response(it.head, behaviour_.status, signature + "Retry-After: 0.1\r\n", body));
        return;
    }
    finish_successfully(it, signature, body);
}

void worker::finish_successfully(const job& it, const std::string& signature, const std::string& body) {
    const auto& mode = behaviour_.mode;
    const auto good = response(it.head, 200, signature, body);
    if (mode == "truncate") {
        send(it.from, good.substr(0, good.size() - 10), true);
    } else if (mode == "cut-head") {
        const auto unframed = absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", header(it.head, "Request-Id"),
                                           "\r\n", signature, "\r\n");
        send(it.from, unframed.substr(0, static_cast<std::size_t>(behaviour_.cut)), true);
    } else if (mode == "unframed" || mode == "unframed-reset") {
        const auto unframed = absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", header(it.head, "Request-Id"),
                                           "\r\n", signature, "\r\n", body);
        if (mode == "unframed-reset") {
            it.from->socket.set_option(boost::asio::socket_base::linger(true, 0));
        }
        send(it.from, unframed, true);
    } else if (mode == "extra") {
        send(it.from, good + good);
    } else if (mode == "late" || mode == "late-unnamed") {
        const auto stale = absl::StrCat("HTTP/1.1 200 OK\r\n", mode == "late" ? "Request-Id: stale\r\n" : "",
                                        "Server-Signature: stale\r\nContent-Length: 5\r\n\r\nstale");
        send(it.from, stale + good);
    } else if (mode == "status-000") {
        send(it.from, absl::StrReplaceAll(good, {{"HTTP/1.1 200", "HTTP/1.1 000"}}));
    } else if (mode == "pieces") {
        send_pieces(it.from, good.substr(0, good.size() - body.size()), body);
    } else if (mode == "unsigned") {
        send(it.from, response(it.head, 200, "", body));
    } else {
        send(it.from, good);
    }
}

void worker::reset_early(const connection_ptr& it) {
    ++runs_[header(it->parser->head, "Request-Id")];
    it->socket.set_option(boost::asio::socket_base::linger(true, 0));
    send(it,
         absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", header(it->parser->head, "Request-Id"),
                      "\r\nServer-Signature: ", behaviour_.id, "\r\n\r\n",
                      std::string(behaviour_.body_bytes, 'b')),
         true);
}

void worker::send(const connection_ptr& it, const std::string& bytes, bool close) {
    it->writer.write(bytes, it, [it, close](bool) {
        if (close) {
            boost::system::error_code ec;
            it->socket.close(ec);
        }
    });
}

void worker::finish_endlessly(const job& it) {
    const auto start = absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", header(it.head, "Request-Id"),
                                    "\r\nServer-Signature: ", behaviour_.id, "\r\n");
    const auto& mode = behaviour_.mode;
    if (mode == "endless-head") {
        send_endlessly(it.from, start + "Filler: ", "x");
    } else if (mode == "endless-chunk") {
        send_endlessly(it.from, start + "Transfer-Encoding: chunked\r\n\r\n1;", "x");
    } else if (mode == "endless-interim") {
        send_endlessly(it.from, "", interim_response);
    } else if (mode == "endless-shed") {
        send_endlessly(it.from,
                       absl::StrCat("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: ",
                                    header(it.head, "Request-Id"), "\r\n\r\n"),
                       "x");
    } else { // a body that is no response of this worker
        send_endlessly(it.from, "HTTP/1.1 200 OK\r\n\r\n", "x");
    }
}

void worker::send_pieces(const connection_ptr& it, const std::string& start, const std::string& body) {
    const auto n = std::min(body.size(), behaviour_.body_bytes / std::max(1, behaviour_.pieces) + 1);
    it->writer.write(start + body.substr(0, n), it, [this, it, rest = body.substr(n)](bool ok) {
        if (!ok || it->closed || rest.empty()) {
            return;
        }
        auto timer =
            std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(behaviour_.pause_ms));
        timer->async_wait([this, it, timer, rest](const auto&) { send_pieces(it, "", rest); });
    });
}

void worker::send_slowly(const connection_ptr& it, const std::string& start) {
    constexpr std::chrono::milliseconds interval{20};
    it->writer.write(start, it, [this, it, interval](bool ok) {
        if (!ok || it->closed) {
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, interval);
        timer->async_wait([this, it, timer](const auto&) { send_slowly(it, "x"); });
    });
}

void worker::send_endlessly(const connection_ptr& it, const std::string& start, const std::string& repeated) {
    constexpr std::size_t block_bytes = 16384;
    std::string block = start;
    while (block.size() < block_bytes) {
        block += repeated;
    }
    it->writer.write(block, it, [this, it, repeated](bool ok) {
        if (ok && !it->closed) {
            boost::asio::post(io_, [this, it, repeated] { send_endlessly(it, "", repeated); });
        }
    });
}

} // namespace berylcrank::standin
