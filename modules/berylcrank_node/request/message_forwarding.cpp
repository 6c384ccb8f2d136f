#include "modules/berylcrank_node/request/message_forwarding.h"

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include <algorithm>
#include <array>
#include <span>
#include <xxhash.h>

namespace berylcrank {

namespace {

constexpr std::array hop_by_hop{std::string_view{"Connection"},
                                std::string_view{"Keep-Alive"},
                                std::string_view{"Proxy-Connection"},
                                std::string_view{"TE"},
                                std::string_view{"Trailer"},
                                std::string_view{"Transfer-Encoding"},
                                std::string_view{"Upgrade"},
                                std::string_view{"Proxy-Authorization"},
                                std::string_view{"Proxy-Authenticate"},
                                std::string_view{"Expect"},
                                std::string_view{"Content-Length"}};
constexpr std::array removed_from_request{std::string_view{"Host"}, std::string_view{"Berylcrank-Request-Id"},
                                          std::string_view{"Berylcrank-Timeout-Ms"}};
constexpr std::array removed_from_response{std::string_view{"Berylcrank-Request-Id"},
                                           std::string_view{"Berylcrank-Load"},
                                           std::string_view{"Berylcrank-Verdict"}};

absl::string_view view(std::string_view it) {
    return {it.data(), it.size()};
}

bool contains_name(std::span<const std::string_view> names, std::string_view name) {
    return std::ranges::any_of(
        names, [&](std::string_view it) { return absl::EqualsIgnoreCase(view(it), view(name)); });
}

/** True if a `Connection` header lists this header as hop-by-hop. */
bool is_listed_by_connection(std::span<const http_header> all, std::string_view name) {
    return std::ranges::any_of(all, [&](const http_header& it) {
        if (!absl::EqualsIgnoreCase(it.name, "Connection")) {
            return false;
        }
        const std::vector<absl::string_view> parts = absl::StrSplit(it.value, ',');
        return std::ranges::any_of(parts, [&](absl::string_view part) {
            return absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(part), view(name));
        });
    });
}

std::vector<http_header> remove_headers(std::span<const http_header> all,
                                        std::span<const std::string_view> names) {
    std::vector<http_header> kept;
    kept.reserve(all.size() + 4);
    const bool has_connection = count_headers(all, "Connection") != 0;
    for (const auto& it : all) {
        if (!contains_name(hop_by_hop, it.name) && !contains_name(names, it.name) &&
            !(has_connection && is_listed_by_connection(all, it.name))) {
            kept.push_back(it);
        }
    }
    return kept;
}

} // namespace

std::vector<http_header> forwarded_request_headers(const http_request& it) {
    return remove_headers(it.headers, removed_from_request);
}

std::vector<http_header> forwarded_response_headers(const http_response_head& it) {
    auto headers = remove_headers(it.headers, removed_from_response);
    headers.push_back({"Berylcrank-Verdict", std::string(to_string(run_verdict::ran))});
    return headers;
}

http_response refusal_response(const refusal& it) {
    http_response response{.head = {.status = it.status, .headers = {{"Content-Type", "text/plain"}}},
                           .body = std::string(it.reason) + "\n"};
    response.head.headers.push_back({"Berylcrank-Verdict", std::string(to_string(it.verdict))});
    if (!it.is_retry_useful) {
        response.head.headers.push_back({"Berylcrank-Retry", "no"});
    }
    return response;
}

std::uint64_t request_fingerprint(std::string_view method, std::string_view path, std::string_view body) {
    // The lengths of method and path distinguish requests whose concatenated text is equal.
    const auto head = std::to_string(method.size()) + ":" + std::to_string(path.size()) + ":" +
                      std::string(method) + std::string(path);
    return XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(head.data(), head.size()));
}

} // namespace berylcrank
