#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_suspect/table/suspect_table.h"

#include "absl/container/flat_hash_map.h"

#include <string_view>

namespace berylcrank {

/** The last known run of each upstream, by the incarnation that its responses state. Tells which lost
    connections an upstream has survived. Thread-safe.
    @see suspect_table
*/
class upstream_runs {
public:
    /** Number by which reports name an upstream. */
    [[nodiscard]] static std::uint32_t number_of(std::string_view upstream);

    /** Records a response of an upstream. `incarnation` is empty if the response states none. */
    void on_response(std::string_view upstream, std::string_view incarnation, instant now);

    /** Returns the run of an upstream; 0 if it is not known. */
    [[nodiscard]] std::uint64_t run_of(std::string_view upstream) const;

    /** Returns true if the upstream has responded after the loss, in the same run. */
    [[nodiscard]] bool has_survived(const upstream_loss& it) const;

private:
    struct entry {
        std::uint64_t run{0};
        instant responded_at;
    };

    mutable mutex mutex_;
    absl::flat_hash_map<std::uint32_t, entry> entries_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
