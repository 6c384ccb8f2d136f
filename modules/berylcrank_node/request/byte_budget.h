#pragma once

#include <atomic>
#include <cstddef>

namespace berylcrank {

/** Limits the bytes that all requests together hold in memory. Thread-safe.
    @see byte_reservation
*/
class byte_budget {
public:
    explicit byte_budget(std::size_t bytes) : free_(bytes) {}

    /** Reserves `n` bytes. @return False, with nothing reserved, if fewer are free. */
    bool reserve(std::size_t n) {
        auto free = free_.load();
        while (free >= n) {
            if (free_.compare_exchange_weak(free, free - n)) {
                return true;
            }
        }
        return false;
    }

    /** Releases `n` bytes. */
    void release(std::size_t n) { free_ += n; }

    [[nodiscard]] std::size_t free_bytes() const { return free_; }

private:
    std::atomic<std::size_t> free_;
};

/** Bytes of a budget that one request has reserved; released on destruction.
    @see byte_budget
*/
class byte_reservation {
public:
    explicit byte_reservation(byte_budget& budget) : budget_(budget) {}
    ~byte_reservation() { release(); }
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;

    /** Reserves `n` more bytes. @return False, with nothing reserved, if fewer are free. */
    bool reserve(std::size_t n) {
        const bool is_reserved = budget_.reserve(n);
        reserved_ += is_reserved ? n : 0;
        return is_reserved;
    }

    /** Releases all bytes. */
    void release() {
        budget_.release(reserved_);
        reserved_ = 0;
    }

private:
    byte_budget& budget_;
    std::size_t reserved_{0};
};

} // namespace berylcrank
