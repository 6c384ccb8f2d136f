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

/** Returns the hash of a request's identity. It is the same in all processes and on all architectures. */
std::uint64_t fingerprint_of(const request_identity& it);

} // namespace berylcrank
