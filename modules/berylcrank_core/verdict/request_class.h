#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace berylcrank {

/** Class of a request. Under overload, the classes are served in this order.

    @see to_string, parse_request_class
*/
enum class request_class : std::uint8_t {
    order,    ///< Non-idempotent; runs at most once.
    lookup,   ///< Idempotent and short.
    download, ///< Idempotent and long; can be resumed by a range request.
};

/** Number of request classes. */
inline constexpr std::size_t request_class_count = 3;

/** Returns the value of the `Berylcrank-Class` header. @see parse_request_class */
constexpr std::string_view to_string(request_class value) {
    switch (value) {
    case request_class::order:
        return "order";
    case request_class::lookup:
        return "lookup";
    case request_class::download:
        return "download";
    }
    return "lookup";
}

/** Parses a `Berylcrank-Class` value. Returns nothing for any other text. @see to_string */
constexpr std::optional<request_class> parse_request_class(std::string_view text) {
    for (const auto value : {request_class::order, request_class::lookup, request_class::download}) {
        if (text == to_string(value)) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace berylcrank
