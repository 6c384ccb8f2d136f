#pragma once

#include <atomic>
#include <cstddef>

namespace berylcrank {

/** Bounds the bytes that many requests hold together. Safe from any thread.

    @see held_bytes
*/
class byte_budget {
public:
    explicit byte_budget(std::size_t bytes) : free_(bytes) {}

    /** Takes `n` bytes; false, and none are taken, if fewer are free. */
    bool take(std::size_t n) {
        auto free = free_.load();
        while (free >= n) {
            if (free_.compare_exchange_weak(free, free - n)) {
                return true;
            }
        }
        return false;
    }

    /** Gives `n` bytes back. */
    void give(std::size_t n) { free_ += n; }

    [[nodiscard]] std::size_t free_bytes() const { return free_; }

private:
    std::atomic<std::size_t> free_;
};

/** What one request has taken of a budget; given back at the end of its life.

    @see byte_budget
*/
class held_bytes {
public:
    explicit held_bytes(byte_budget& budget) : budget_(budget) {}
    ~held_bytes() { release(); }
    held_bytes(const held_bytes&) = delete;
    held_bytes& operator=(const held_bytes&) = delete;

    /** Takes `n` more bytes if they are free. */
    bool add(std::size_t n) {
        const bool is_taken = budget_.take(n);
        held_ += is_taken ? n : 0;
        return is_taken;
    }

    /** Gives all bytes back. */
    void release() {
        budget_.give(held_);
        held_ = 0;
    }

private:
    byte_budget& budget_;
    std::size_t held_{0};
};

} // namespace berylcrank
