#include "standins/common/json_response.h"

namespace berylcrank::standins {

void respond_json(http_exchange& it, int status, const nlohmann::json& document) {
    it.respond({.head = {.status = status, .headers = {{"Content-Type", "application/json"}}},
                .body = document.dump() + "\n"});
}

std::optional<nlohmann::json> read_json(http_exchange& it) {
    auto document = nlohmann::json::parse(it.request().body, nullptr, false);
    if (document.is_discarded()) {
        respond_json(it, 400, {{"error", "request body is not JSON"}});
        return std::nullopt;
    }
    return document;
}

std::string_view path_without_query(const http_request& it) {
    const std::string_view path = it.path;
    return path.substr(0, path.find('?'));
}

std::optional<std::string_view> query_parameter(const http_request& it, std::string_view name) {
    std::string_view rest = it.path;
    const auto mark = rest.find('?');
    rest = mark == std::string_view::npos ? "" : rest.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto part = rest.substr(0, end);
        if (part.starts_with(name) && part.substr(name.size()).starts_with('=')) {
            return part.substr(name.size() + 1);
        }
        rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    }
    return std::nullopt;
}

} // namespace berylcrank::standins
