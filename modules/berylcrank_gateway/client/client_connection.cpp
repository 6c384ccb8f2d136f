#include "modules/berylcrank_gateway/client/client_connection.h"

#include <absl/strings/numbers.h>
#include <array>
#include <boost/asio/buffer.hpp>
#include <netinet/tcp.h>

namespace berylcrank {

namespace {

// Shared by all connections, which one thread reads one at a time.
std::array<char, 65536> read_buffer; // NOLINT(cppcoreguidelines-avoid-non-const-global-variables)

constexpr std::uint32_t header_limit = 65536; // bytes of a response head

millis parse_keep_alive(const header_list& headers) {
    const auto* value = find_header(headers, "Keep-Alive");
    if (value == nullptr) {
        return {};
    }
    const auto at = value->find("timeout=");
    std::int64_t seconds = 0;
    if (at == std::string::npos ||
        !absl::SimpleAtoi(value->substr(at + 8, value->find_first_not_of("0123456789", at + 8) - at - 8),
                          &seconds)) {
        return {};
    }
    return seconds > client_connection::max_keep_alive.count() / 1000 ? client_connection::max_keep_alive
                                                                      : millis{seconds * 1000};
}

// Returns true if the input behind a complete response is the body of a response that has none. What looks
// like another response is not: an upstream may send the response to an earlier request late.
bool has_stray_body(const response_parser& it, std::string_view rest) {
    constexpr std::string_view response_start = "HTTP/1.";
    return it.is_done() && it.head.status >= 200 && is_bodyless_status(it.head.status) &&
           rest.substr(0, response_start.size()) != response_start.substr(0, rest.size());
}

// Returns true if a body may still arrive for a complete response: a 304 may state the length of a body
// without having one, so that an upstream that sends one cannot be told apart.
bool may_have_body_to_come(const response_parser& it) {
    return it.head.status == 304 && (it.head.length.value_or(0) > 0 || it.chunked());
}

} // namespace

std::string_view to_string(call_failure it) {
    switch (it) {
    case call_failure::not_connected:
        return "not-connected";
    case call_failure::no_response:
        return "no-response";
    case call_failure::broken_off:
        return "broken-off";
    case call_failure::garbled:
        return "garbled";
    }
    return "unknown";
}

void client_connection::call(std::string request, response_sink& sink, bool no_body) {
    call_ = call_state{.sink = &sink, .number = ++calls_, .no_body = no_body};
    request_ = std::move(request);
    parser_.reset();
    if (connected_) {
        send();
    } else {
        connect();
    }
}

void client_connection::connect() {
    boost::system::error_code ec;
    socket_.open(address_.protocol(), ec);
    if (!ec) {
        socket_.non_blocking(true, ec);
        socket_.set_option(boost::asio::ip::tcp::no_delay(true), ec);
        const auto limit = static_cast<unsigned>(unacknowledged_timeout.count());
        setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    }
    socket_.async_connect(address_, [self = shared_from_this()](const auto& error) {
        if (self->closed_) {
            return;
        }
        if (error) {
            self->error_ = error.message();
            self->fail(call_failure::not_connected);
            return;
        }
        self->connected_ = true;
        self->connected_at_ = self->time_.now();
        self->send();
    });
}

void client_connection::send() {
    // A failed write is handled at the end of input, after a response that has already arrived.
    writer_.write(std::move(request_), shared_from_this(), [](bool) {});
    request_.clear();
    wait_for_bytes();
}

void client_connection::wait_for_bytes() {
    if (closed_ || waiting_ || paused()) {
        return;
    }
    waiting_ = true;
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const auto& ec) {
        self->waiting_ = false;
        if (!ec && !self->closed_ && !self->paused()) {
            self->read_bytes();
        }
    });
}

std::string_view client_connection::activity() const {
    return closed_ ? "closed" : !connected_ ? "connecting" : paused() ? "paused" : "reading";
}

std::function<void()> client_connection::pause_reading() {
    if (!call_) {
        return [] {};
    }
    call_->paused = true;
    return [self = shared_from_this(), number = call_->number] { self->resume_reading(number); };
}

void client_connection::resume_reading(std::uint64_t call_number) {
    if (call_ && call_->number == call_number) {
        call_->paused = false;
        wait_for_bytes();
    }
}

void client_connection::read_bytes() {
    const auto self = shared_from_this();
    boost::system::error_code ec;
    const auto n = socket_.read_some(boost::asio::buffer(read_buffer), ec);
    if (ec == boost::asio::error::would_block || ec == boost::asio::error::try_again) {
        wait_for_bytes();
        return;
    }
    if (ec) {
        const auto& reason = writer_.error() ? writer_.error() : ec;
        error_ = reason.message();
        closed_by_server_ = ec == boost::asio::error::eof || ec == boost::asio::error::connection_reset;
        on_end_of_input(reason == boost::asio::error::eof);
        return;
    }
    if (!call_) {
        close(); // unexpected bytes without a pending request
        return;
    }
    consume({read_buffer.data(), n});
    wait_for_bytes();
}

void client_connection::consume(std::string_view bytes) {
    while (!bytes.empty() && !closed_) {
        if (!call_) {
            close(); // bytes after a complete response
            return;
        }
        if (!parser_) {
            parser_ = std::make_unique<response_parser>();
            parser_->header_limit(header_limit);
            parser_->skip(call_->no_body);
            head_bytes_ = 0;
        }
        boost::beast::error_code ec;
        const bool in_head = !parser_->is_header_done();
        const auto used = parser_->feed(bytes, ec);
        bytes.remove_prefix(used);
        head_bytes_ += in_head ? used : 0;
        if (ec) {
            error_ = ec.message();
            fail(call_->head_delivered ? call_failure::broken_off : call_failure::garbled);
            return;
        }
        if (has_stray_body(*parser_, bytes)) {
            error_ = "body in a response that has none";
            fail(call_failure::garbled);
            return;
        }
        if (!notify_sink()) {
            return;
        }
        if (parser_ && parser_->is_done()) {
            response_complete(!bytes.empty());
        }
    }
}

bool client_connection::notify_sink() {
    if (!parser_->is_header_done()) {
        return true;
    }
    if (!call_->head_delivered && !discarding_) {
        if (parser_->head.status < 200) {
            if (!count_interim_response()) {
                error_ = "too many interim responses";
                fail(call_failure::garbled);
                return false;
            }
            discarding_ = true;
        } else {
            keep_alive_ = parse_keep_alive(parser_->head.headers);
            const auto action = call_->sink->on_head(parser_->head);
            if (!call_) {
                return false; // cancelled by the sink
            }
            if (action == head_action::reject) {
                fail(call_failure::garbled);
                return false;
            }
            discarding_ = action == head_action::discard;
            discarded_any_ = discarded_any_ || discarding_;
            call_->head_delivered = !discarding_;
        }
    }
    if (call_->head_delivered && !parser_->body.empty()) {
        call_->sink->on_body(parser_->body);
    }
    parser_->body.clear();
    return call_.has_value() && !closed_;
}

bool client_connection::count_interim_response() {
    ++call_->interim_responses;
    call_->interim_bytes += head_bytes_; // an interim response has no body
    return call_->interim_responses <= max_interim_responses && call_->interim_bytes <= max_interim_bytes;
}

void client_connection::response_complete(bool bytes_left) {
    const bool stays_open = parser_->head.keep_alive && !may_have_body_to_come(*parser_);
    parser_.reset();
    if (discarding_) {
        discarding_ = false;
        if (!stays_open) {
            fail(call_failure::no_response);
        }
        return;
    }
    const bool is_written = writer_.pending() == 0 && !writer_.error();
    const bool reusable = stays_open && !bytes_left && !discarded_any_ && is_written;
    auto* sink = call_->sink;
    call_.reset();
    idle_since_ = time_.now();
    if (!reusable) {
        close();
    }
    sink->on_done(reusable);
}

void client_connection::on_end_of_input(bool clean) {
    const bool has_head = call_ && call_->head_delivered;
    if (clean && has_head && parser_ && parser_->is_header_done()) {
        boost::beast::error_code ec;
        parser_->put_eof(ec);
        if (!ec && parser_->is_done()) {
            parser_->head.keep_alive = false;
            response_complete(false);
            return;
        }
    }
    fail(has_head ? call_failure::broken_off : call_failure::no_response);
}

void client_connection::fail(call_failure reason) {
    auto* sink = call_ ? call_->sink : nullptr;
    call_.reset();
    close();
    if (sink != nullptr) {
        sink->on_failed(reason);
    }
}

void client_connection::cancel() {
    call_.reset();
    close();
}

void client_connection::close() {
    closed_ = true;
    boost::system::error_code ec;
    socket_.close(ec);
}

} // namespace berylcrank
