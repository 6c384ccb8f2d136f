#include "modules/berylcrank_gateway/server/exchange.h"

#include "modules/berylcrank_gateway/server/server_connection.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>

namespace berylcrank {

std::string_view reason_phrase(int status) {
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Unknown";
    }
}

void exchange::begin(int status, std::string_view reason, const header_list& headers,
                     std::optional<std::uint64_t> length) {
    const auto connection = connection_.lock();
    if (begun_ || !connection) {
        return;
    }
    begun_ = true;
    charge_.reset(); // no further attempt needs a copy of the body, which kept_bytes() counts from now on
    // Later pipelined requests may already run; the response to the last of them closes the connection.
    close_after_ = !head.keep_alive || (connection->closing() && connection->is_last(*this));
    bodyless_ = head.method == "HEAD" || status == 204 || status == 304;
    std::string text = absl::StrCat("HTTP/1.1 ", status, " ", std::string(reason), "\r\n");
    for (const auto& [name, value] : headers) {
        absl::StrAppend(&text, name, ": ", value, "\r\n");
    }
    if (length) {
        absl::StrAppend(&text, "Content-Length: ", *length, "\r\n");
    } else if (head.version >= 11) {
        chunked_ = !bodyless_;
        text += "Transfer-Encoding: chunked\r\n";
    } else {
        close_after_ = true; // HTTP/1.0: the end of the connection marks the end of the body
        connection->set_reset_on_close(true);
    }
    if (close_after_) {
        connection->discard_further_requests();
    }
    text += close_after_ ? "Connection: close\r\n\r\n" : "\r\n";
    enqueue(text);
}

void exchange::append(std::string_view bytes) {
    if (bytes.empty() || bodyless_) {
        return;
    }
    if (!chunked_) {
        enqueue(bytes);
        return;
    }
    enqueue(
        absl::StrCat(absl::Hex(bytes.size()), "\r\n", absl::string_view(bytes.data(), bytes.size()), "\r\n"));
}

void exchange::finish() {
    if (finished_) {
        return;
    }
    if (chunked_) {
        enqueue("0\r\n\r\n");
    }
    finished_ = true;
    enqueue("");
}

void exchange::respond(int status, std::string_view reason, const header_list& headers,
                       std::string_view content) {
    begin(status, reason, headers, content.size());
    append(content);
    finish();
}

void exchange::abort() {
    if (const auto connection = connection_.lock()) {
        connection->abort();
    }
}

std::size_t exchange::unsent_bytes() const {
    const auto connection = connection_.lock();
    return out_.size() + (connection ? connection->pending() : 0);
}

bool exchange::has_earlier_requests() const {
    const auto connection = connection_.lock();
    return connection && !connection->is_first(*this);
}

bool exchange::keep(std::size_t bytes) {
    const auto connection = connection_.lock();
    if (disconnected_ || !connection) {
        return false;
    }
    const bool grows = bytes > kept_by_handler_;
    kept_by_handler_ = bytes;
    return !grows || connection->charge_output(0);
}

std::size_t exchange::kept_bytes() const {
    return allocated_bytes(out_) + kept_by_handler_ + (charge_ ? 0 : allocated_bytes(body));
}

void exchange::enqueue(std::string_view bytes) {
    const auto connection = connection_.lock();
    if (disconnected_ || !connection) {
        return;
    }
    const auto growth = grown_capacity(out_, bytes.size()) - std::min(out_.capacity(), out_.size());
    if (!bytes.empty() && !connection->charge_output(growth)) {
        return;
    }
    out_.append(bytes);
    connection->flush();
}

void exchange::on_caller_disconnected() {
    if (disconnected_) {
        return;
    }
    disconnected_ = true;
    if (const auto handler = std::move(on_disconnect)) {
        handler();
    }
}

} // namespace berylcrank
