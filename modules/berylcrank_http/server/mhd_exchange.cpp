#include "modules/berylcrank_http/server/mhd_exchange.h"

#include "absl/strings/match.h"

#include <utility>

namespace berylcrank {

namespace {

// Maximum size of one send call of a streamed response.
constexpr std::size_t max_block_bytes = 65536;

bool is_managed_header(const std::string& name) {
    return absl::EqualsIgnoreCase(name, "Content-Length") ||
           absl::EqualsIgnoreCase(name, "Transfer-Encoding") || absl::EqualsIgnoreCase(name, "Connection");
}

ssize_t read_block(void* exchange, std::uint64_t /*position*/, char* out, std::size_t max) {
    return (*static_cast<std::shared_ptr<mhd_exchange>*>(exchange))->read(out, max);
}

void release_exchange(void* exchange) {
    delete static_cast<std::shared_ptr<mhd_exchange>*>(exchange);
}

void release_body(void* body) {
    delete static_cast<std::string*>(body);
}

} // namespace

void mhd_exchange::respond(http_response response) {
    const lock_guard hold(mutex_);
    if (phase_ != phase::waiting) {
        return;
    }
    phase_ = phase::responded;
    response_ = std::move(response);
    resume();
}

std::shared_ptr<body_buffer> mhd_exchange::start_response(http_response_head head,
                                                          std::optional<std::uint64_t> content_bytes) {
    auto buffer =
        std::make_shared<body_buffer>(body_buffer::options{.capacity_bytes = options_.buffer_bytes});
    buffer->set_on_data([self = weak_from_this()] {
        if (const auto exchange = self.lock()) {
            exchange->wake();
        }
    });
    const lock_guard hold(mutex_);
    if (phase_ == phase::waiting) {
        phase_ = phase::streaming;
        response_.head = std::move(head);
        content_bytes_ = content_bytes;
        buffer_ = buffer;
        resume();
    }
    return buffer;
}

void mhd_exchange::abort() {
    const lock_guard hold(mutex_);
    if (phase_ == phase::waiting) {
        is_aborted_ = true;
        phase_ = phase::finished;
        resume();
    }
}

void mhd_exchange::set_on_disconnect(std::function<void()> callback) {
    {
        const lock_guard hold(mutex_);
        if (!is_disconnected_) {
            if (phase_ != phase::finished) {
                on_disconnect_ = std::move(callback);
            }
            return;
        }
    }
    callback();
}

MHD_Result mhd_exchange::respond_or_suspend() {
    phase previous = phase::finished;
    {
        const lock_guard hold(mutex_);
        if (is_aborted_ || is_disconnected_ || options_.stopping->load()) {
            return MHD_NO;
        }
        if (phase_ == phase::waiting) {
            is_suspended_ = true;
            MHD_suspend_connection(options_.connection);
            return MHD_YES;
        }
        previous = phase_;
        if (previous == phase::responded || previous == phase::streaming) {
            phase_ = phase::queued;
        }
    }
    // Called without the lock, because libmicrohttpd holds its response lock when it calls `read`.
    return previous == phase::responded || previous == phase::streaming ? queue(previous) : MHD_YES;
}

ssize_t mhd_exchange::read(char* out, std::size_t max) {
    std::shared_ptr<body_buffer> buffer;
    {
        const lock_guard hold(mutex_);
        buffer = buffer_;
    }
    for (;;) {
        if (const auto n = buffer->pull({out, max}); n != 0) {
            return static_cast<ssize_t>(n);
        }
        auto end = body_buffer::state::open;
        if (buffer->is_drained(end)) {
            return end == body_buffer::state::finished ? MHD_CONTENT_READER_END_OF_STREAM
                                                       : MHD_CONTENT_READER_END_WITH_ERROR;
        }
        const lock_guard hold(mutex_);
        if (is_disconnected_ || options_.stopping->load()) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        if (!std::exchange(is_data_ready_, false)) {
            is_suspended_ = true;
            MHD_suspend_connection(options_.connection);
            return 0;
        }
    }
}

void mhd_exchange::mark_disconnected() {
    std::function<void()> notify;
    {
        const lock_guard hold(mutex_);
        if (is_disconnected_ || is_aborted_ || phase_ == phase::finished) {
            return;
        }
        is_disconnected_ = true;
        notify = std::exchange(on_disconnect_, nullptr);
        resume();
    }
    if (notify) {
        notify();
    }
}

void mhd_exchange::mark_complete() {
    std::function<void()> callback; // Destroyed after the lock is released.
    const lock_guard hold(mutex_);
    phase_ = phase::finished;
    callback = std::exchange(on_disconnect_, nullptr);
}

void mhd_exchange::resume() {
    if (std::exchange(is_suspended_, false)) {
        MHD_resume_connection(options_.connection);
        options_.daemon->on_connection_resumed();
    }
}

void mhd_exchange::wake() {
    const lock_guard hold(mutex_);
    if (is_suspended_) {
        resume();
    } else {
        is_data_ready_ = true;
    }
}

MHD_Result mhd_exchange::queue(phase previous) {
    MHD_Response* const response = make_response(previous);
    if (response == nullptr) {
        return MHD_NO;
    }
    for (const auto& header : response_.head.headers) {
        if (!is_managed_header(header.name)) {
            MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
        }
    }
    if (options_.closing->load()) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const auto result =
        MHD_queue_response(options_.connection, static_cast<unsigned>(response_.head.status), response);
    MHD_destroy_response(response);
    return result;
}

MHD_Response* mhd_exchange::make_response(phase previous) {
    if (previous == phase::streaming) {
        const auto size = content_bytes_ ? *content_bytes_ : MHD_SIZE_UNKNOWN;
        return MHD_create_response_from_callback(size, max_block_bytes, &read_block,
                                                 new std::shared_ptr<mhd_exchange>(shared_from_this()),
                                                 &release_exchange);
    }
    if (response_.body.empty()) {
        return MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT);
    }
    auto* const body = new std::string(std::move(response_.body));
    return MHD_create_response_from_buffer_with_free_callback_cls(body->size(), body->data(), &release_body,
                                                                  body);
}

} // namespace berylcrank
