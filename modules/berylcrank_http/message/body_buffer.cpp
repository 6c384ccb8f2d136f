#include "modules/berylcrank_http/message/body_buffer.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace berylcrank {

bool body_buffer::push(std::span<const char> bytes) {
    std::function<void()> notify;
    {
        const lock_guard hold(mutex_);
        const auto held = bytes_.size() - start_;
        if (held != 0 && held + bytes.size() > options_.capacity_bytes) {
            producer_waits_ = true;
            return false;
        }
        if (held == 0) {
            bytes_.clear();
            start_ = 0;
            notify = on_data_;
        }
        bytes_.append(bytes.data(), bytes.size());
    }
    if (notify) {
        notify();
    }
    return true;
}

void body_buffer::finish() {
    end_with(state::finished);
}

void body_buffer::fail() {
    end_with(state::failed);
}

std::size_t body_buffer::pull(std::span<char> out) {
    std::function<void()> notify;
    std::size_t n = 0;
    {
        const lock_guard hold(mutex_);
        n = std::min(out.size(), bytes_.size() - start_);
        std::memcpy(out.data(), bytes_.data() + start_, n);
        start_ += n;
        const auto held = bytes_.size() - start_;
        if (start_ >= options_.capacity_bytes || held == 0) {
            bytes_.erase(0, start_);
            start_ = 0;
        }
        if (producer_waits_ && held <= options_.capacity_bytes / 2) {
            producer_waits_ = false;
            notify = on_space_;
        }
    }
    if (notify) {
        notify();
    }
    return n;
}

bool body_buffer::is_drained(state& end) {
    const lock_guard hold(mutex_);
    end = state_;
    return state_ != state::open && bytes_.size() == start_;
}

void body_buffer::set_on_data(std::function<void()> it) {
    const lock_guard hold(mutex_);
    on_data_ = std::move(it);
}

void body_buffer::set_on_space(std::function<void()> it) {
    const lock_guard hold(mutex_);
    on_space_ = std::move(it);
}

void body_buffer::set_on_end(std::function<void(state)> it) {
    const lock_guard hold(mutex_);
    on_end_ = std::move(it);
}

void body_buffer::end_with(state it) {
    std::function<void()> notify;
    std::function<void(state)> notify_end;
    {
        const lock_guard hold(mutex_);
        if (state_ != state::open) {
            return;
        }
        state_ = it;
        notify = on_data_;
        notify_end = on_end_;
    }
    if (notify_end) {
        notify_end(it);
    }
    if (notify) {
        notify();
    }
}

} // namespace berylcrank
