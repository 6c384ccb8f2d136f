#pragma once

#include "modules/berylcrank_core/identity/request_id.h"

#include <atomic>
#include <string>

namespace berylcrank {

/** Mints id prefixes for one run of a node and recognises its own.

    Safe for several threads.
    @see request_id
*/
class id_minter {
public:
    struct options {
        incarnation self;        ///< This run.
        std::uint64_t secret{0}; ///< Key of the check; drawn at start and never sent.
    };

    explicit id_minter(options it) : options_(it) {}

    /** A fresh prefix minted at `now`, without the dot and number of an id. */
    std::string mint_prefix(instant now);

    /** True if this run minted the prefix of `id`. */
    [[nodiscard]] bool is_genuine(const request_id& id) const;

    /** This run. */
    [[nodiscard]] incarnation self() const { return options_.self; }

private:
    [[nodiscard]] std::uint64_t check_of(std::int64_t mint_ms, std::uint64_t serial) const;

    options options_;
    std::atomic<std::uint64_t> next_serial_{1};
};

} // namespace berylcrank
