#include "modules/berylcrank_gateway/http/message_framing.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace berylcrank {

namespace {

// Returns the elements of all comma-separated lists in the fields with a name, without empty ones.
std::vector<std::string> list_elements(const header_list& headers, std::string_view name) {
    std::vector<std::string> found;
    for (const auto& [field, value] : headers) {
        if (!header_names_equal(field, name)) {
            continue;
        }
        for (const absl::string_view part : absl::StrSplit(value, ',')) {
            if (const auto text = absl::StripAsciiWhitespace(part); !text.empty()) {
                found.emplace_back(text);
            }
        }
    }
    return found;
}

} // namespace

body_coding parse_body_coding(const header_list& headers) {
    if (find_header(headers, "Transfer-Encoding") == nullptr) {
        return body_coding::none;
    }
    const auto codings = list_elements(headers, "Transfer-Encoding");
    const auto at = std::find_if(codings.begin(), codings.end(),
                                 [](const auto& it) { return absl::EqualsIgnoreCase(it, "chunked"); });
    if (codings.empty() || (at != codings.end() && std::next(at) != codings.end())) {
        return body_coding::invalid;
    }
    return codings.size() == 1 && at != codings.end() ? body_coding::chunked : body_coding::unknown;
}

bool is_valid_status(int status) {
    return status >= 100 && status <= 599 && status != 101;
}

bool is_bodyless_status(int status) {
    return status < 200 || status == 204 || status == 304;
}

bool is_valid_framing(const response_head& head) {
    const auto coding = parse_body_coding(head.headers);
    if (!is_valid_status(head.status) || coding == body_coding::invalid || coding == body_coding::unknown) {
        return false;
    }
    // Beast accepts a repeated length if the values are equal.
    const auto lengths = list_elements(head.headers, "Content-Length");
    if (lengths.size() > 1) {
        return false;
    }
    const bool has_body = coding == body_coding::chunked || head.length.value_or(0) > 0;
    return !has_body || !is_bodyless_status(head.status) || head.status == 304;
}

} // namespace berylcrank
