#include "modules/berylcrank_http/message/http_message.h"

#include "absl/strings/match.h"

#include <algorithm>

namespace berylcrank {

namespace {

bool is_named(const http_header& header, std::string_view name) {
    return absl::EqualsIgnoreCase(header.name, absl::string_view{name.data(), name.size()});
}

} // namespace

std::optional<std::string_view> find_header(std::span<const http_header> headers, std::string_view name) {
    const auto it = std::ranges::find_if(headers, [&](const http_header& h) { return is_named(h, name); });
    if (it == headers.end()) {
        return std::nullopt;
    }
    return it->value;
}

std::size_t count_headers(std::span<const http_header> headers, std::string_view name) {
    return static_cast<std::size_t>(
        std::ranges::count_if(headers, [&](const http_header& h) { return is_named(h, name); }));
}

} // namespace berylcrank
