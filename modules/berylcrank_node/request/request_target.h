#pragma once

#include "modules/berylcrank_config/ticket/objects.h"
#include "modules/berylcrank_core/time/millis.h"
#include "modules/berylcrank_core/verdict/request_class.h"
#include "modules/berylcrank_http/message/http_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace berylcrank {

/** `/s/<service>/<path>` taken apart. @see split_service_path */
struct service_path {
    std::string_view service;
    std::string_view rest; ///< Path and query for the upstream, starting with a slash.
};

/** Takes apart a request path; nothing if it is not below `/s/` or names no service. */
std::optional<service_path> split_service_path(std::string_view path);

/** How a request is to be treated. @see read_request_terms */
struct request_terms {
    berylcrank::request_class request_class{berylcrank::request_class::lookup};
    bool is_idempotent{true};
    millis timeout;
    std::string fault; ///< What is wrong with the headers; empty if nothing is.
};

/** Reads class, idempotence and deadline from method and headers, and from the service's configuration. */
request_terms read_request_terms(const http_request& it, const service_config& service);

} // namespace berylcrank
