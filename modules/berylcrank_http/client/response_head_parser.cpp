#include "modules/berylcrank_http/client/response_head_parser.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"

#include <algorithm>

namespace berylcrank {

namespace {

// libcurl allows 300 KiB. A larger head than this is not from an upstream that follows the protocol.
constexpr std::size_t max_head_bytes = 65536;

absl::string_view view(std::string_view text) {
    return {text.data(), text.size()};
}

bool is_bodyless_status(int status) {
    return status == 204 || status == 304;
}

} // namespace

void response_head_parser::reset(bool is_head_request) {
    head_ = {};
    head_bytes_ = 0;
    content_bytes_.reset();
    is_head_request_ = is_head_request;
    is_complete_ = false;
}

response_head_parser::parse_status response_head_parser::parse_line(std::string_view line) {
    if (is_complete_) {
        return parse_status::incomplete;
    }
    head_bytes_ += line.size();
    if (head_bytes_ > max_head_bytes) {
        return parse_status::malformed;
    }
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
        line.remove_suffix(1);
    }
    if (line.starts_with("HTTP/")) {
        return parse_status_line(line);
    }
    if (line.empty()) {
        return finish_head();
    }
    const auto colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos || line.front() == ' ' || line.front() == '\t') {
        return parse_status::malformed;
    }
    const auto value = absl::StripAsciiWhitespace(view(line.substr(colon + 1)));
    head_.headers.push_back(
        {.name = std::string(line.substr(0, colon)), .value = std::string(value.data(), value.size())});
    return parse_status::incomplete;
}

response_head_parser::parse_status response_head_parser::parse_status_line(std::string_view line) {
    head_ = {};
    const bool is_supported = line.starts_with("HTTP/1.1 ") && line.size() >= 12 &&
                              absl::SimpleAtoi(view(line.substr(9, 3)), &head_.status);
    return is_supported && head_.status != 101 ? parse_status::incomplete : parse_status::malformed;
}

response_head_parser::parse_status response_head_parser::finish_head() {
    if (head_.status < 200) {
        return parse_status::incomplete;
    }
    const auto lengths = count_headers(head_.headers, "Content-Length");
    const auto codings = count_headers(head_.headers, "Transfer-Encoding");
    if (lengths + codings > 1) {
        return parse_status::malformed;
    }
    if (lengths == 1) {
        const auto text = *find_header(head_.headers, "Content-Length");
        std::uint64_t n = 0;
        if (text.empty() || !std::ranges::all_of(text, absl::ascii_isdigit) ||
            !absl::SimpleAtoi(view(text), &n)) {
            return parse_status::malformed;
        }
        content_bytes_ = n;
    } else if (codings == 1) {
        if (!absl::EqualsIgnoreCase(view(*find_header(head_.headers, "Transfer-Encoding")), "chunked")) {
            return parse_status::malformed;
        }
    } else if (!is_head_request_ && !is_bodyless_status(head_.status)) {
        // The body would end when the connection closes, so a truncated one would look complete.
        return parse_status::malformed;
    }
    is_complete_ = true;
    return parse_status::complete;
}

} // namespace berylcrank
