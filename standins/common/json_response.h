#pragma once

#include "modules/berylcrank_http/server/http_exchange.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace berylcrank::standins {

/** Responds with a JSON document. */
void respond_json(http_exchange& it, int status, const nlohmann::json& document);

/** Parses the body of a request as JSON. Responds with 400 and returns nothing if it is not JSON. */
std::optional<nlohmann::json> read_json(http_exchange& it);

/** Returns the request path up to the question mark. */
std::string_view path_without_query(const http_request& it);

/** Returns the value of a query parameter without percent-decoding, or nothing if it is missing. */
std::optional<std::string_view> query_parameter(const http_request& it, std::string_view name);

} // namespace berylcrank::standins
