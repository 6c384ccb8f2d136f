#pragma once

#include "modules/berylcrank_http/server/http_exchange.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace berylcrank::standins {

/** Answers with a JSON document. */
void answer_json(http_exchange& it, int status, const nlohmann::json& document);

/** Reads the body of a request as JSON; answers 400 and returns nothing if it is not. */
std::optional<nlohmann::json> read_json(http_exchange& it);

/** The part of a request path before the question mark. */
std::string_view path_of(const http_request& it);

/** The value of a query parameter, not decoded; nothing if it is missing. */
std::optional<std::string_view> query_of(const http_request& it, std::string_view name);

} // namespace berylcrank::standins
