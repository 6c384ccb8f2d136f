#pragma once

#include "modules/berylcrank_http/message/http_message.h"
#include "modules/berylcrank_once/message/order_message.h"

#include <span>
#include <string>
#include <vector>

namespace berylcrank {

/** Headers of a caller's request that go on to the upstream. @see upstream_headers */
std::vector<order_header> forwarded_headers(const http_request& it);

/** Headers of an upstream's answer that go on to the caller, without verdict and prefix. @see answer_headers
 */
std::vector<order_header> answered_headers(const http_response_head& it);

/** The same headers for the HTTP module. */
std::vector<http_header> to_http(std::span<const order_header> headers);

/** The answer that a caller sees: verdict and prefix as headers, the reason as body if there is no other. */
http_response to_http(const order_response& it, const std::string& id_prefix);

/** Appends the headers that each answer to a non-idempotent request carries. */
void add_verdict(std::vector<http_header>& out, run_verdict verdict, const std::string& id_prefix);

} // namespace berylcrank
