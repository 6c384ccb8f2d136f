#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <list>
#include <string>

namespace berylcrank {

class memory_charge;

/** Account of the bytes that a node keeps for the requests of its callers and the responses to them. Not
    thread-safe.

    When a charge does not fit, the account sheds charges that can be shed and have made no progress for
    `stall_time`, the one without progress for the longest time first. A charge of up to `short_bytes` is
   short and is never shed. Long charges leave `short_reserve` to short ones.

    @see memory_charge
*/
class memory_account {
public:
    /** Limits in bytes. */
    struct options {
        std::size_t limit{0};         ///< Of all charges; 0 for no limit.
        std::size_t short_reserve{0}; ///< Part of `limit` that only short charges may use.
        std::size_t short_bytes{16384};
        /** Of the charges of one caller's address. Short charges may exceed it by half of `short_reserve`, so
            that callers behind the address of a client that has reached it are still served. */
        std::size_t address_limit{0};
        millis stall_time{500}; ///< Well above the gaps between the packets of a body on a working network.
    };

    /** Returns the limits for a process that may use `memory_bytes`; 0 for no limit. Half is left to the
        program, to responses, and to what the allocator cannot reuse. */
    static options options_for(std::size_t memory_bytes);

    explicit memory_account(options limits) : options_(limits) {}

    /** Number of bytes charged. */
    [[nodiscard]] std::size_t used() const { return used_; }
    /** Number of times that a charge did not fit. */
    [[nodiscard]] std::size_t refused() const { return refused_; }
    /** Number of charges that were shed for others. */
    [[nodiscard]] std::size_t shed() const { return shed_; }

private:
    friend class memory_charge;

    bool resize(memory_charge& it, std::size_t bytes, instant now, bool is_progress = true);
    void note_progress(memory_charge& it, instant now);
    [[nodiscard]] bool fits(const memory_charge& it, std::size_t bytes) const;
    [[nodiscard]] bool fits_address(const memory_charge& it, std::size_t bytes) const;
    bool shed_one(const memory_charge& for_whom, bool same_address, instant now);
    void set(memory_charge& it, std::size_t bytes);
    [[nodiscard]] bool is_long(std::size_t bytes) const { return bytes > options_.short_bytes; }

    options options_;
    std::size_t used_{0};
    std::size_t used_by_long_{0};
    std::size_t refused_{0};
    std::size_t shed_{0};
    absl::flat_hash_map<std::string, std::size_t> used_by_address_;
    std::list<memory_charge*> by_progress_; // the one without progress for the longest time is the first
};

} // namespace berylcrank
