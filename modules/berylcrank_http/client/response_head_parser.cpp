#include "modules/berylcrank_http/client/response_head_parser.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"

#include <algorithm>

namespace berylcrank {

namespace {

// libcurl allows 300 KiB; an upstream that sends more than this does not speak our protocol.
constexpr std::size_t max_head_bytes = 65536;

absl::string_view view(std::string_view it) {
    return {it.data(), it.size()};
}

bool has_no_body(int status) {
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

response_head_parser::step response_head_parser::take(std::string_view line) {
    if (is_complete_) {
        return step::more;
    }
    head_bytes_ += line.size();
    if (head_bytes_ > max_head_bytes) {
        return step::malformed;
    }
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
        line.remove_suffix(1);
    }
    if (line.starts_with("HTTP/")) {
        return take_status(line);
    }
    if (line.empty()) {
        return finish();
    }
    const auto colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos || line.front() == ' ' || line.front() == '\t') {
        return step::malformed;
    }
    const auto value = absl::StripAsciiWhitespace(view(line.substr(colon + 1)));
    head_.headers.push_back(
        {.name = std::string(line.substr(0, colon)), .value = std::string(value.data(), value.size())});
    return step::more;
}

response_head_parser::step response_head_parser::take_status(std::string_view line) {
    head_ = {};
    const bool is_served = line.starts_with("HTTP/1.1 ") && line.size() >= 12 &&
                           absl::SimpleAtoi(view(line.substr(9, 3)), &head_.status);
    return is_served && head_.status != 101 ? step::more : step::malformed;
}

response_head_parser::step response_head_parser::finish() {
    if (head_.status < 200) {
        return step::more;
    }
    const auto lengths = count_headers(head_.headers, "Content-Length");
    const auto codings = count_headers(head_.headers, "Transfer-Encoding");
    if (lengths + codings > 1) {
        return step::malformed;
    }
    if (lengths == 1) {
        const auto text = *find_header(head_.headers, "Content-Length");
        std::uint64_t n = 0;
        if (text.empty() || !std::ranges::all_of(text, absl::ascii_isdigit) ||
            !absl::SimpleAtoi(view(text), &n)) {
            return step::malformed;
        }
        content_bytes_ = n;
    } else if (codings == 1) {
        if (!absl::EqualsIgnoreCase(view(*find_header(head_.headers, "Transfer-Encoding")), "chunked")) {
            return step::malformed;
        }
    } else if (!is_head_request_ && !has_no_body(head_.status)) {
        return step::malformed; // It would last until the connection closes: whole and cut off look the same.
    }
    is_complete_ = true;
    return step::complete;
}

} // namespace berylcrank
