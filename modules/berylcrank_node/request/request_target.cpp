#include "modules/berylcrank_node/request/request_target.h"

#include <algorithm>
#include <charconv>

namespace berylcrank {

namespace {

constexpr std::string_view service_prefix = "/s/";

bool is_safe_method(std::string_view method) {
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

std::optional<std::int64_t> parse_timeout(std::string_view text) {
    std::int64_t ms = 0;
    const auto [it, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (ec != std::errc{} || it != text.data() + text.size() || ms < 0) {
        return std::nullopt;
    }
    return ms;
}

request_class default_class(bool is_idempotent, request_class of_service) {
    if (!is_idempotent) {
        return request_class::order;
    }
    return of_service == request_class::order ? request_class::lookup : of_service;
}

void parse_timeout_header(const http_request& it, request_options& out) {
    const auto text = find_header(it.headers, "Berylcrank-Timeout-Ms");
    if (!text) {
        return;
    }
    const auto ms = parse_timeout(*text);
    if (!ms) {
        out.error = "Berylcrank-Timeout-Ms must be a whole number of milliseconds, not below 0";
        return;
    }
    out.timeout = std::min(out.timeout, millis{*ms});
}

void parse_class_header(const http_request& it, request_options& out) {
    const auto text = find_header(it.headers, "Berylcrank-Class");
    if (!text) {
        return;
    }
    const auto requested = parse_request_class(*text);
    if (!requested) {
        out.error = "Berylcrank-Class must be order, lookup or download";
    } else if (out.is_idempotent != (*requested != request_class::order)) {
        out.error = "class order is for non-idempotent requests, lookup and download are for idempotent ones";
    } else {
        out.request_class = *requested;
    }
}

} // namespace

std::optional<service_path> split_service_path(std::string_view path) {
    if (!path.starts_with(service_prefix)) {
        return std::nullopt;
    }
    path.remove_prefix(service_prefix.size());
    const auto end = path.find_first_of("/?");
    const auto service = path.substr(0, end);
    if (service.empty()) {
        return std::nullopt;
    }
    if (end == std::string_view::npos || path[end] == '?') {
        return service_path{.service = service, .rest = "/"};
    }
    return service_path{.service = service, .rest = path.substr(end)};
}

request_options parse_request_options(const http_request& it, const service_config& service) {
    request_options out{.timeout = service.deadline};
    const auto idempotent_header = find_header(it.headers, "Berylcrank-Idempotent");
    out.is_idempotent = is_safe_method(it.method) || idempotent_header == "true";
    out.request_class = default_class(out.is_idempotent, service.request_class);
    if (idempotent_header && *idempotent_header != "true" && *idempotent_header != "false") {
        out.error = "Berylcrank-Idempotent must be true or false";
    }
    parse_timeout_header(it, out);
    parse_class_header(it, out);
    return out;
}

} // namespace berylcrank
