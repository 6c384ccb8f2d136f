#include "modules/berylcrank_node/request/order_headers.h"

#include "modules/berylcrank_node/request/message_forwarding.h"

namespace berylcrank {

namespace {

std::vector<order_header> to_order_headers(std::span<const http_header> headers) {
    std::vector<order_header> out;
    out.reserve(headers.size());
    for (const auto& it : headers) {
        out.emplace_back(it.name, it.value);
    }
    return out;
}

} // namespace

std::vector<order_header> order_request_headers(const http_request& it) {
    return to_order_headers(forwarded_request_headers(it));
}

std::vector<order_header> order_response_headers(const http_response_head& it) {
    auto headers = forwarded_response_headers(it);
    // The node adds its own verdict and id prefix to each response; the upstream's would be duplicates.
    std::erase_if(headers, [](const http_header& h) {
        return count_headers({&h, 1}, "Berylcrank-Verdict") +
                   count_headers({&h, 1}, "Berylcrank-Id-Prefix") !=
               0;
    });
    return to_order_headers(headers);
}

std::vector<http_header> to_http(std::span<const order_header> headers) {
    std::vector<http_header> out;
    out.reserve(headers.size());
    for (const auto& [name, value] : headers) {
        out.push_back({.name = name, .value = value});
    }
    return out;
}

http_response to_http(const order_response& it, const std::string& id_prefix) {
    constexpr int first_status = 200;
    constexpr int last_status = 599;
    constexpr int http_bad_gateway = 502;
    const bool is_status = it.status >= first_status && it.status <= last_status;
    http_response out{
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
