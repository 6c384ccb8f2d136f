#pragma once

#include "modules/berylcrank_core/identity/request_id.h"

#include <atomic>
#include <string>

namespace berylcrank {

/** Mints request id prefixes for one run of a node and verifies that an id belongs to this run.

    Safe for concurrent use.
    @see request_id
*/
class id_minter {
public:
    struct options {
        incarnation self;        ///< Incarnation of this run.
        std::uint64_t secret{0}; ///< Key of the check hash: random per start, never sent.
    };

    explicit id_minter(options opts) : options_(opts) {}

    /** Returns a new, unique prefix with mint time `now`. It does not contain the dot and the number of an
        id. */
    std::string mint_prefix(instant now);

    /** Returns true if this run minted the prefix of `id`. Verifies the check hash. */
    [[nodiscard]] bool is_genuine(const request_id& id) const;

    /** Returns the incarnation of this run. */
    [[nodiscard]] incarnation self() const { return options_.self; }

private:
    [[nodiscard]] std::uint64_t compute_check(std::int64_t mint_ms, std::uint64_t serial) const;

    options options_;
    std::atomic<std::uint64_t> next_serial_{1};
};

} // namespace berylcrank
