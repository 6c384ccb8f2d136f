#pragma once

#include "modules/berylcrank_http/server/http_exchange.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace berylcrank::standins {

/** A download with pseudo-random bytes that are determined by the seed. Path: `/blob/<size>/<seed>`. */
struct blob {
    std::uint64_t size{0};
    std::uint64_t seed{0};
};

/** Parses `/blob/<size>/<seed>` after any prefix. Returns nothing for other paths. */
std::optional<blob> parse_blob(std::string_view path);

/** Fills `out` with the bytes from `offset` on. */
void fill_blob(const blob& it, std::uint64_t offset, std::span<char> out);

/** The requested range of a blob, in bytes. @see select_range */
struct blob_range {
    int status{200}; ///< HTTP status of the response: 200, 206 or 416.
    std::uint64_t first{0};
    std::uint64_t size{0};
};

/** Evaluates `Range` (a single range only) and `If-Range` against the given entity tag. */
blob_range select_range(const blob& it, const http_request& request, std::string_view etag);

/** Fault of a streamed response. @see stream_blob */
enum class stream_fault : std::uint8_t {
    none,
    cut,  ///< The connection is closed early.
    stall ///< The connection stays open, but no more bytes are sent.
};

/** Streams a range as the response body, as fast as the client reads it. The fault occurs after `fault_bytes`
    bytes of the range. */
void stream_blob(const std::shared_ptr<http_exchange>& exchange, const blob& it, const blob_range& part,
                 http_response_head head, stream_fault fault, std::uint64_t fault_bytes);

} // namespace berylcrank::standins
