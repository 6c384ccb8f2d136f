#include "modules/berylcrank_gateway/http/message_head.h"

#include <absl/strings/match.h>
#include <array>

namespace berylcrank {

bool header_names_equal(std::string_view a, std::string_view b) {
    return absl::EqualsIgnoreCase({a.data(), a.size()}, {b.data(), b.size()});
}

const std::string* find_header(const header_list& headers, std::string_view name) {
    for (const auto& [key, value] : headers) {
        if (header_names_equal(key, name)) {
            return &value;
        }
    }
    return nullptr;
}

bool is_hop_by_hop_header(std::string_view name) {
    static constexpr std::array<std::string_view, 9> names{
        "Connection", "Keep-Alive",       "Transfer-Encoding", "TE",    "Trailer",
        "Upgrade",    "Proxy-Connection", "Content-Length",    "Expect"};
    for (const auto it : names) {
        if (header_names_equal(it, name)) {
            return true;
        }
    }
    return false;
}

} // namespace berylcrank
