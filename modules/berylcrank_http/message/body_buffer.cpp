#include "modules/berylcrank_http/message/body_buffer.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace berylcrank {

bool body_buffer::push(std::span<const char> bytes) {
    std::function<void()> notify;
    {
        const lock_guard hold(mutex_);
        const auto buffered_bytes = bytes_.size() - read_offset_;
        if (buffered_bytes != 0 && buffered_bytes + bytes.size() > options_.capacity_bytes) {
            is_producer_waiting_ = true;
            return false;
        }
        if (buffered_bytes == 0) {
            bytes_.clear();
            read_offset_ = 0;
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
    set_final_state(state::finished);
}

void body_buffer::fail() {
    set_final_state(state::failed);
}

std::size_t body_buffer::pull(std::span<char> out) {
    std::function<void()> notify;
    std::size_t n = 0;
    {
        const lock_guard hold(mutex_);
        n = std::min(out.size(), bytes_.size() - read_offset_);
        std::memcpy(out.data(), bytes_.data() + read_offset_, n);
        read_offset_ += n;
        const auto buffered_bytes = bytes_.size() - read_offset_;
        if (read_offset_ >= options_.capacity_bytes || buffered_bytes == 0) {
            bytes_.erase(0, read_offset_);
            read_offset_ = 0;
        }
        if (is_producer_waiting_ && buffered_bytes <= options_.capacity_bytes / 2) {
            is_producer_waiting_ = false;
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
    return state_ != state::open && bytes_.size() == read_offset_;
}

void body_buffer::set_on_data(std::function<void()> callback) {
    const lock_guard hold(mutex_);
    on_data_ = std::move(callback);
}

void body_buffer::set_on_space(std::function<void()> callback) {
    const lock_guard hold(mutex_);
    on_space_ = std::move(callback);
}

void body_buffer::set_on_end(std::function<void(state)> callback) {
    const lock_guard hold(mutex_);
    on_end_ = std::move(callback);
}

void body_buffer::set_final_state(state final_state) {
    std::function<void()> notify;
    std::function<void(state)> notify_end;
    {
        const lock_guard hold(mutex_);
        if (state_ != state::open) {
            return;
        }
        state_ = final_state;
        notify = on_data_;
        notify_end = on_end_;
    }
    if (notify_end) {
        notify_end(final_state);
    }
    if (notify) {
        notify();
    }
}

} // namespace berylcrank
