#pragma once

#include "modules/berylcrank_suspect/table/request_fingerprint.h"
#include "modules/berylcrank_suspect/table/suspect_table.h"

namespace berylcrank {

/** One request's entries in a suspect_table: that of its caller and that of all callers together.

    Crashes of a request count against both, so that a request which comes from ever other addresses is
    refused after as many crashes as one from a single address. A successful response clears both; it leaves
    the entries of other callers, so that a request that crashes upstreams for one caller only is still
    refused to that caller while it succeeds for others.
*/
class request_suspicion {
public:
    request_suspicion(suspect_table& table, const request_fingerprints& it)
        : table_(table), fingerprints_(it) {}

    /** Decides how to handle the request. Refuses it if either entry does; tries it if either entry does. */
    suspect_verdict check(instant now);
    /** Returns whether the request may be sent again without waiting for its caller. */
    [[nodiscard]] bool allows_retry();
    /** Records the loss of the request's connection. Returns the larger number of crashes in sequence. */
    std::uint32_t on_lost(const upstream_loss& loss, instant now);
    /** Records a successful response. */
    void on_success(instant now);
    /** Records that a trial had no outcome. */
    void on_trial_unused();

    [[nodiscard]] const request_fingerprints& fingerprints() const { return fingerprints_; }

private:
    suspect_table& table_;
    request_fingerprints fingerprints_;
};

} // namespace berylcrank
