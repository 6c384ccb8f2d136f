#include "modules/berylcrank_node/request/order_headers.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <array>

namespace berylcrank {

namespace {

using namespace std::string_view_literals;

constexpr std::array connection_headers{
    "Connection"sv, "Keep-Alive"sv,     "Proxy-Connection"sv,  "TE"sv,    "Trailer"sv,
    "Upgrade"sv,    "Content-Length"sv, "Transfer-Encoding"sv, "Expect"sv};
constexpr std::array request_headers{"Host"sv, "Berylcrank-Request-Id"sv, "Berylcrank-Timeout-Ms"sv};
constexpr std::array answer_headers{"Berylcrank-Request-Id"sv, "Berylcrank-Load"sv, "Berylcrank-Verdict"sv,
                                    "Berylcrank-Id-Prefix"sv};

bool is_among(std::span<const std::string_view> names, std::string_view name) {
    return std::ranges::any_of(names, [name](std::string_view it) {
        return absl::EqualsIgnoreCase({it.data(), it.size()}, {name.data(), name.size()});
    });
}

/** True if a `Connection` header names `name`, which makes it a header of one connection. */
bool is_listed(std::span<const http_header> headers, std::string_view name) {
    for (const auto& it : headers) {
        if (!absl::EqualsIgnoreCase(it.name, "Connection")) {
            continue;
        }
        for (const auto part : absl::StrSplit(it.value, ',')) {
            if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(part), {name.data(), name.size()})) {
                return true;
            }
        }
    }
    return false;
}

std::vector<order_header> kept(std::span<const http_header> headers,
                               std::span<const std::string_view> dropped) {
    std::vector<order_header> out;
    for (const auto& it : headers) {
        if (!is_among(connection_headers, it.name) && !is_among(dropped, it.name) &&
            !is_listed(headers, it.name)) {
            out.emplace_back(it.name, it.value);
        }
    }
    return out;
}

} // namespace

std::vector<order_header> forwarded_headers(std::span<const http_header> headers) {
    return kept(headers, request_headers);
}

std::vector<order_header> answered_headers(std::span<const http_header> headers) {
    return kept(headers, answer_headers);
}

std::vector<http_header> to_http(std::span<const order_header> headers) {
    std::vector<http_header> out;
    out.reserve(headers.size());
    for (const auto& [name, value] : headers) {
        out.push_back({.name = name, .value = value});
    }
    return out;
}

http_answer to_http(const order_answer& it, const std::string& id_prefix) {
    constexpr int first_status = 200;
    constexpr int last_status = 599;
    constexpr int http_bad_gateway = 502;
    const bool is_status = it.status >= first_status && it.status <= last_status;
    http_answer out{
        .head = {.status = is_status ? it.status : http_bad_gateway, .headers = to_http(it.headers)},
        .body = it.body};
    if (out.body.empty() && !it.reason.empty()) {
        out.body = it.reason + "\n";
        out.head.headers.push_back({.name = "Content-Type", .value = "text/plain"});
    }
    add_verdict(out.head.headers, it.verdict, id_prefix);
    return out;
}

void add_verdict(std::vector<http_header>& out, run_verdict verdict, const std::string& id_prefix) {
    out.push_back({.name = "Berylcrank-Verdict", .value = std::string{to_string(verdict)}});
    out.push_back({.name = "Berylcrank-Id-Prefix", .value = id_prefix});
}

} // namespace berylcrank
