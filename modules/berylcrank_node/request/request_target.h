#pragma once

#include "modules/berylcrank_config/ticket/objects.h"
#include "modules/berylcrank_core/time/millis.h"
#include "modules/berylcrank_core/verdict/request_class.h"
#include "modules/berylcrank_http/message/http_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace berylcrank {

/** Parts of a path `/s/<service>/<path>`. @see split_service_path */
struct service_path {
    std::string_view service;
    std::string_view rest; ///< Path and query for the upstream, starting with a slash.
};

/** Splits a request path; nothing if it is not below `/s/` or names no service. */
std::optional<service_path> split_service_path(std::string_view path);

/** Options of a request that determine how it is processed. @see parse_request_options */
struct request_options {
    berylcrank::request_class request_class{berylcrank::request_class::lookup};
    bool is_idempotent{true};
    millis timeout;
    std::string error; ///< Describes the invalid header; empty if all are valid.
};

/** Determines class, idempotence and timeout from method and headers, and from the service's configuration.
 */
request_options parse_request_options(const http_request& it, const service_config& service);

} // namespace berylcrank
