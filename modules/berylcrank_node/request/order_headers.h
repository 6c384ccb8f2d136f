#pragma once

#include "modules/berylcrank_http/message/http_message.h"
#include "modules/berylcrank_once/message/order_message.h"

#include <span>
#include <string>
#include <vector>

namespace berylcrank {

/** Headers of a caller's request that are forwarded to the upstream. @see forwarded_request_headers */
std::vector<order_header> order_request_headers(const http_request& it);

/** Headers of an upstream's response that are forwarded to the caller, without verdict and id prefix. @see
    forwarded_response_headers */
std::vector<order_header> order_response_headers(const http_response_head& it);

/** Converts headers to the type of the HTTP module. */
std::vector<http_header> to_http(std::span<const order_header> headers);

/** Converts a response for a caller: adds verdict and id prefix as headers, and the reason as body if there
    is no other. */
http_response to_http(const order_response& it, const std::string& id_prefix);

/** Appends the headers that each response to a non-idempotent request carries. */
void add_verdict(std::vector<http_header>& out, run_verdict verdict, const std::string& id_prefix);

} // namespace berylcrank
