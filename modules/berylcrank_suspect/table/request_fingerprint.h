#pragma once

#include <cstdint>
#include <string_view>

namespace berylcrank {

/** What makes two requests the same for crash attribution. Request ids are not part of it, because callers
    repeat a request with a new id. */
struct request_identity {
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view caller; ///< The client account or address that sends the request.
    std::string_view body;
};

/** Hashes under which a request is suspected. They are the same in all processes and on all architectures. */
struct request_fingerprints {
    std::uint64_t of_caller{0};  ///< Hash of the whole identity.
    std::uint64_t of_request{0}; ///< Hash of the identity without the caller.

    bool operator==(const request_fingerprints&) const = default;
};

/** Returns the hashes of a request's identity. */
request_fingerprints fingerprints_of(const request_identity& it);

} // namespace berylcrank
