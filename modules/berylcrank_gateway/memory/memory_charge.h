#pragma once

#include "modules/berylcrank_gateway/memory/memory_account.h"

#include <functional>
#include <memory>

namespace berylcrank {

/** Bytes that are charged to a memory_account until the charge is destroyed. */
class memory_charge {
public:
    /** Creates a charge of 0 bytes for a caller's address. `shed`, if any, is called when the account needs
        the bytes for another charge. It frees the memory and resizes the charge, and may not destroy it. */
    memory_charge(std::shared_ptr<memory_account> account, std::string address,
                  std::function<void()> shed = {});
    ~memory_charge();
    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;

    /** Sets the number of bytes, of which a smaller one always fits. Call this before the memory is
       allocated. Returns false without a change if the account is short. A call that does not reduce the
       charge counts as progress. */
    [[nodiscard]] bool resize(std::size_t bytes, instant now) { return account_->resize(*this, bytes, now); }

    /** Like resize(), but does not count as progress: for bytes that wait for a peer, whose progress is that
        they become fewer. */
    [[nodiscard]] bool resize_waiting(std::size_t bytes, instant now) {
        return account_->resize(*this, bytes, now, false);
    }

    /** Counts progress of the peer. */
    void note_progress(instant now) { account_->note_progress(*this, now); }

    /** Reduces the charge to at most `bytes`. */
    void reduce(std::size_t bytes);

    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    friend class memory_account;

    std::shared_ptr<memory_account> account_;
    std::string address_;
    std::function<void()> shed_;
    std::size_t bytes_{0};
    instant progress_;
    std::list<memory_charge*>::iterator place_; // in the account's list
};

} // namespace berylcrank
