#pragma once

#include "modules/berylcrank_http/server/http_exchange.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace berylcrank::standins {

/** A download whose bytes follow from its size and seed. Path: `/blob/<size>/<seed>`. */
struct blob {
    std::uint64_t size{0};
    std::uint64_t seed{0};
};

/** Reads `/blob/<size>/<seed>`, perhaps below a prefix; nothing for other paths. */
std::optional<blob> parse_blob(std::string_view path);

/** Writes the bytes from `offset` on to `out`. */
void fill_blob(const blob& it, std::uint64_t offset, std::span<char> out);

/** The part of a blob that is asked for. @see select_part */
struct blob_part {
    int status{200}; ///< 200, 206 or 416.
    std::uint64_t first{0};
    std::uint64_t size{0};
};

/** Applies `Range` (one range) and `If-Range` with the given entity tag. */
blob_part select_part(const blob& it, const http_request& request, std::string_view etag);

/** How a streamed answer ends before its last byte. @see stream_blob */
enum class stream_fault : std::uint8_t { none, cut, stall };

/** Streams a part into an answer, as fast as the caller takes it. A fault strikes after `fault_bytes`. */
void stream_blob(const std::shared_ptr<http_exchange>& exchange, const blob& it, const blob_part& part,
                 http_response_head head, stream_fault fault, std::uint64_t fault_bytes);

} // namespace berylcrank::standins
