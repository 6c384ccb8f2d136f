#include "modules/berylcrank_gateway/server/server_connection.h"

#include <array>
#include <boost/asio/buffer.hpp>

namespace berylcrank {

namespace {

// Shared by all connections, which one thread reads one at a time.
std::array<char, 65536> read_buffer; // NOLINT(cppcoreguidelines-avoid-non-const-global-variables)

// A stopping node closes a connection only after this time without a request: the first one of a connection
// that was just accepted may be on its way.
constexpr millis min_idle_time{250};

// Copies of a body beside the received one: those that two attempts (a request and its hedge) send, and the
// one from which the second is serialized.
constexpr std::size_t attempt_copies = 3;

constexpr std::size_t max_spare_output = 16384; // bytes that queued output may have allocated beyond its size

constexpr std::string_view retry_after_seconds = "1"; // of a request that is refused for lack of memory

std::string address_of(const boost::asio::ip::tcp::socket& socket) {
    boost::system::error_code ec;
    const auto peer = socket.remote_endpoint(ec);
    return ec ? std::string() : peer.address().to_string();
}

constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

server_connection::server_connection(boost::asio::ip::tcp::socket socket, listener_context& context)
    : socket_(std::move(socket)), context_(context), limit_(context.connections), writer_(socket_),
      caller_(address_of(socket_)), input_charge_(context.memory, caller_, [this] { shed_input(); }),
      output_charge_(context.memory, caller_, [this] { shed_output(); }), last_activity_(context.time.now()) {
    boost::system::error_code ec;
    socket_.non_blocking(true, ec);
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ec);
}

server_connection::~server_connection() {
    limit_->remove(*this);
}

void server_connection::start() {
    limit_->add(*this);
    wait_for_bytes();
}

void server_connection::wait_for_bytes() {
    if (!open_ || waiting_ || unparsed_.size() >= max_unparsed) {
        return;
    }
    waiting_ = true;
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const auto& ec) {
        self->waiting_ = false;
        if (!ec && self->open_) {
            self->read_bytes();
        }
    });
}

void server_connection::read_bytes() {
    boost::system::error_code ec;
    const auto n = socket_.read_some(boost::asio::buffer(read_buffer), ec);
    if (ec == boost::asio::error::would_block || ec == boost::asio::error::try_again) {
        wait_for_bytes();
        return;
    }
    if (ec) {
        on_end_of_input();
        return;
    }
    last_activity_ = context_.time.now();
    if (!unparsed_.empty()) {
        keep_unparsed({read_buffer.data(), n});
    } else if (!no_more_requests_) {
        consume({read_buffer.data(), n});
    }
    wait_for_bytes();
}

void server_connection::consume(std::string_view bytes) {
    while (!bytes.empty() && open_ && !no_more_requests_) {
        if (closing() && !pipeline_.empty()) {
            discard_input();
            return;
        }
        if (pipeline_.size() >= max_pipeline) {
            keep_unparsed(bytes);
            return;
        }
        if (!feed(bytes)) {
            return;
        }
    }
}

bool server_connection::feed(std::string_view& bytes) {
    const auto& limits = context_.limits();
    if (!parser_) {
        parser_ = std::make_unique<request_parser>();
        parser_->header_limit(limits.header_bytes);
    }
    reading_message_ = true;
    if (!charge_input(parser_->capacity_with(bytes.size()), allocated_bytes(unparsed_))) {
        reject(503);
        return false;
    }
    const bool had_head = parser_->is_header_done();
    boost::beast::error_code ec;
    const auto used = parser_->feed(bytes, ec);
    bytes.remove_prefix(used);
    if (ec) {
        reject(ec == boost::beast::http::error::header_limit ? 431
               : ec == request_parser::unknown_coding()      ? 501
                                                             : 400);
        return false;
    }
    if (!charge_input(parser_->capacity(), allocated_bytes(unparsed_))) { // the fields of the head take more
        reject(503);
        return false;
    }
    const auto length = parser_->is_header_done() ? parser_->content_length() : boost::none;
    if (parser_->body.size() > limits.body_bytes || (length && *length > limits.body_bytes)) {
        reject(413);
        return false;
    }
    if (!had_head && parser_->is_header_done() && !parser_->is_done() && pipeline_.empty() &&
        find_header(parser_->head.headers, "Expect") != nullptr) {
        writer_.write(std::string(continue_response), shared_from_this(), [](bool) {});
    }
    if (parser_->is_done()) {
        request_complete();
        return true;
    }
    return false; // all bytes are consumed
}

void server_connection::request_complete() {
    auto parser = std::move(parser_);
    reading_message_ = false;
    input_charge_.reduce(allocated_bytes(unparsed_));
    auto charge = std::make_unique<memory_charge>(context_.memory, caller_);
    const auto& body = parser->body;
    if (!body.empty() &&
        !charge->resize(body.capacity() + attempt_copies * body.size(), context_.time.now())) {
        reject(503);
        return;
    }
    no_more_requests_ = !parser->head.keep_alive;
    const auto it = std::make_shared<exchange>(shared_from_this(), std::move(parser->head),
                                               std::move(parser->body), caller_, context_.time.now());
    it->hold(std::move(charge));
    pipeline_.push_back(it);
    context_.handler.handle(it);
}

// Returns false if the account is short. A reduction always succeeds.
bool server_connection::charge_input(std::size_t parser_bytes, std::size_t unparsed_bytes) {
    return input_charge_.resize(parser_bytes + unparsed_bytes, context_.time.now());
}

void server_connection::keep_unparsed(std::string_view bytes) {
    if (!charge_input(parser_ ? parser_->capacity() : 0, grown_capacity(unparsed_, bytes.size()))) {
        shed_input();
        return;
    }
    unparsed_.append(bytes);
}

// Refuses the first request of which not all input is parsed. The caller sends those behind it again.
void server_connection::shed_input() {
    unparsed_ = {};
    if (open_ && !no_more_requests_) {
        reject(503);
    }
    parser_.reset();
    reading_message_ = false;
    input_charge_.reduce(0);
}

void server_connection::reject(int status) {
    parser_.reset();
    input_charge_.reduce(allocated_bytes(unparsed_));
    reading_message_ = false;
    no_more_requests_ = true;
    const auto it = std::make_shared<exchange>(shared_from_this(), request_head{.keep_alive = false}, "",
                                               caller_, context_.time.now());
    pipeline_.push_back(it);
    const auto headers =
        status == 503 ? header_list{{context_.retry_after, std::string(retry_after_seconds)}} : header_list{};
    it->respond(status, reason_phrase(status), headers, "");
}

// Returns the output that can be sent in order, and whether its last response closes the connection.
std::pair<std::string, bool> server_connection::take_ready_output() {
    std::string out;
    while (!pipeline_.empty()) {
        const auto it = pipeline_.front();
        if (out.empty()) {
            out = std::exchange(it->out_, {});
        } else {
            out += it->out_;
            it->out_ = {};
        }
        if (!it->finished_) {
            break;
        }
        pipeline_.pop_front();
        if (it->close_after_) {
            return {std::move(out), true};
        }
    }
    return {std::move(out), pipeline_.empty() && no_more_requests_};
}

// The caller sends the discarded requests again, because the connection closes without a response to them.
void server_connection::discard_input() {
    no_more_requests_ = true;
    reading_message_ = false;
    parser_.reset();
    unparsed_.clear();
}

void server_connection::flush() {
    if (!open_ || last_response_queued_) {
        return;
    }
    const auto self = shared_from_this();
    auto [out, last] = take_ready_output();
    last_activity_ = context_.time.now();
    no_more_requests_ = no_more_requests_ || last;
    last_response_queued_ = last;
    if (out.capacity() - out.size() > max_spare_output) {
        out.shrink_to_fit(); // the charge for the output counts its size
    }
    if (!out.empty() || last) {
        // `self` keeps this connection alive; the handler itself must not, since the writer is part of it.
        writer_.write(std::move(out), self, [this, last = last](bool ok) { on_written(ok, last); });
    }
    output_charge_.reduce(output_bytes());
    if (!unparsed_.empty() && pipeline_.size() < max_pipeline && open_) {
        const auto bytes = std::exchange(unparsed_, {});
        consume(bytes);
        wait_for_bytes();
    }
}

std::size_t server_connection::output_bytes() const {
    std::size_t n = writer_.pending();
    for (const auto& it : pipeline_) {
        n += it->kept_bytes();
    }
    return n;
}

bool server_connection::charge_output(std::size_t more) {
    if (!open_) {
        return false;
    }
    if (!output_charge_.resize_waiting(output_bytes() + more, context_.time.now())) {
        abort();
        return false;
    }
    return true;
}

// Closes the connection of a caller that does not read its responses.
void server_connection::shed_output() {
    if (writer_.pending() < last_pending_) {
        note_output_progress(context_.time.now());
        return;
    }
    abort();
}

void server_connection::note_output_progress(instant now) {
    last_pending_ = writer_.pending();
    output_charge_.note_progress(now);
    output_charge_.reduce(output_bytes());
}

void server_connection::on_written(bool ok, bool last) {
    if (ok) {
        note_output_progress(context_.time.now());
    }
    if (!ok) {
        on_end_of_input();
    } else if (last) {
        close_gracefully();
    } else if (!pipeline_.empty() && pipeline_.front()->on_drained) {
        const auto handler = pipeline_.front()->on_drained;
        handler();
    }
}

void server_connection::set_reset_on_close(bool resets) {
    if (resets == resets_on_close_) {
        return;
    }
    resets_on_close_ = resets;
    boost::system::error_code ec;
    socket_.set_option(boost::asio::socket_base::linger(resets, 0), ec);
}

void server_connection::close_gracefully() {
    if (shut_down_ || !open_) {
        return;
    }
    shut_down_ = true;
    set_reset_on_close(false);
    last_activity_ = context_.time.now(); // the linger time starts when the last byte has been written
    no_more_requests_ = true;             // discards a request that arrives while the connection closes
    unparsed_.clear();
    const auto behind = std::move(pipeline_);
    pipeline_.clear();
    // The caller sends requests again that it pipelined behind a response that closes the connection.
    for (const auto& it : behind) {
        it->on_caller_disconnected();
    }
    boost::system::error_code ec;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    wait_for_bytes();
}

void server_connection::on_end_of_input() {
    if (!open_) {
        return;
    }
    abort();
}

void server_connection::abort() {
    if (!open_) {
        return;
    }
    open_ = false;
    limit_->remove(*this);
    const auto self = shared_from_this();
    boost::system::error_code ec;
    socket_.close(ec);
    writer_.clear();
    const auto left = std::move(pipeline_);
    pipeline_.clear();
    for (const auto& it : left) {
        it->on_caller_disconnected();
    }
    output_charge_.reduce(0);
}

void server_connection::refuse_and_close() {
    const auto self = shared_from_this();
    reject(503);
    abort();
}

void server_connection::check_timeouts(instant now, bool close_idle) {
    if (!open_) {
        return;
    }
    const auto pending = writer_.pending();
    if (pending != last_pending_) {
        note_output_progress(now);
        last_activity_ = now; // the caller is reading its response
    }
    const auto idle_time = now - last_activity_;
    const auto& limits = context_.limits();
    const bool is_stalled = pipeline_.empty() && pending > 0 && idle_time > limits.idle_timeout;
    if ((shut_down_ && idle_time > linger_time) || is_stalled) {
        abort();
    } else if (reading_message_ && idle_time > limits.header_timeout && pipeline_.empty()) {
        reject(408);
    } else if (idle() && (idle_time > limits.idle_timeout || (close_idle && idle_time >= min_idle_time))) {
        close_gracefully();
    }
}

} // namespace berylcrank
