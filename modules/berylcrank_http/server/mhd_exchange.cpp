#include "modules/berylcrank_http/server/mhd_exchange.h"

#include "absl/strings/match.h"

#include <utility>

namespace berylcrank {

namespace {

// One send call of a streamed answer takes at most this much.
constexpr std::size_t block_bytes = 65536;

bool is_set_by_library(const std::string& name) {
    return absl::EqualsIgnoreCase(name, "Content-Length") ||
           absl::EqualsIgnoreCase(name, "Transfer-Encoding") || absl::EqualsIgnoreCase(name, "Connection");
}

ssize_t read_part(void* exchange, std::uint64_t /*position*/, char* out, std::size_t max) {
    return (*static_cast<std::shared_ptr<mhd_exchange>*>(exchange))->read(out, max);
}

void release_exchange(void* exchange) {
    delete static_cast<std::shared_ptr<mhd_exchange>*>(exchange);
}

void release_body(void* body) {
    delete static_cast<std::string*>(body);
}

} // namespace

void mhd_exchange::respond(http_response it) {
    const lock_guard hold(mutex_);
    if (phase_ != phase::waiting) {
        return;
    }
    phase_ = phase::answered;
    answer_ = std::move(it);
    resume();
}

std::shared_ptr<body_buffer> mhd_exchange::start_response(http_response_head head,
                                                          std::optional<std::uint64_t> content_bytes) {
    auto buffer =
        std::make_shared<body_buffer>(body_buffer::options{.capacity_bytes = options_.buffer_bytes});
    buffer->set_on_data([self = weak_from_this()] {
        if (const auto it = self.lock()) {
            it->wake();
        }
    });
    const lock_guard hold(mutex_);
    if (phase_ == phase::waiting) {
        phase_ = phase::streaming;
        answer_.head = std::move(head);
        content_bytes_ = content_bytes;
        buffer_ = buffer;
        resume();
    }
    return buffer;
}

void mhd_exchange::abort() {
    const lock_guard hold(mutex_);
    if (phase_ == phase::waiting) {
        aborted_ = true;
        phase_ = phase::over;
        resume();
    }
}

void mhd_exchange::set_on_disconnect(std::function<void()> it) {
    {
        const lock_guard hold(mutex_);
        if (!gone_) {
            if (phase_ != phase::over) {
                on_gone_ = std::move(it);
            }
            return;
        }
    }
    it();
}

MHD_Result mhd_exchange::proceed() {
    phase was = phase::over;
    {
        const lock_guard hold(mutex_);
        if (aborted_ || gone_ || options_.stopping->load()) {
            return MHD_NO;
        }
        if (phase_ == phase::waiting) {
            suspended_ = true;
            MHD_suspend_connection(options_.connection);
            return MHD_YES;
        }
        was = phase_;
        if (was == phase::answered || was == phase::streaming) {
            phase_ = phase::queued;
        }
    }
    // Without the lock, because libmicrohttpd holds its lock of the response when it asks for the next part.
    return was == phase::answered || was == phase::streaming ? queue(was) : MHD_YES;
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
        if (gone_ || options_.stopping->load()) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        if (!std::exchange(data_ready_, false)) {
            suspended_ = true;
            MHD_suspend_connection(options_.connection);
            return 0;
        }
    }
}

void mhd_exchange::mark_gone() {
    std::function<void()> notify;
    {
        const lock_guard hold(mutex_);
        if (gone_ || aborted_ || phase_ == phase::over) {
            return;
        }
        gone_ = true;
        notify = std::exchange(on_gone_, nullptr);
        resume();
    }
    if (notify) {
        notify();
    }
}

void mhd_exchange::mark_complete() {
    std::function<void()> dropped; // Destroyed without the lock held.
    const lock_guard hold(mutex_);
    phase_ = phase::over;
    dropped = std::exchange(on_gone_, nullptr);
}

void mhd_exchange::resume() {
    if (std::exchange(suspended_, false)) {
        MHD_resume_connection(options_.connection);
        options_.member->note_resumed();
    }
}

void mhd_exchange::wake() {
    const lock_guard hold(mutex_);
    if (suspended_) {
        resume();
    } else {
        data_ready_ = true;
    }
}

MHD_Result mhd_exchange::queue(phase was) {
    MHD_Response* const response = make_response(was);
    if (response == nullptr) {
        return MHD_NO;
    }
    for (const auto& it : answer_.head.headers) {
        if (!is_set_by_library(it.name)) {
            MHD_add_response_header(response, it.name.c_str(), it.value.c_str());
        }
    }
    if (options_.closing->load()) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const auto result =
        MHD_queue_response(options_.connection, static_cast<unsigned>(answer_.head.status), response);
    MHD_destroy_response(response);
    return result;
}

MHD_Response* mhd_exchange::make_response(phase was) {
    if (was == phase::streaming) {
        const auto size = content_bytes_ ? *content_bytes_ : MHD_SIZE_UNKNOWN;
        return MHD_create_response_from_callback(size, block_bytes, &read_part,
                                                 new std::shared_ptr<mhd_exchange>(shared_from_this()),
                                                 &release_exchange);
    }
    if (answer_.body.empty()) {
        return MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT);
    }
    auto* const body = new std::string(std::move(answer_.body));
    return MHD_create_response_from_buffer_with_free_callback_cls(body->size(), body->data(), &release_body,
                                                                  body);
}

} // namespace berylcrank
