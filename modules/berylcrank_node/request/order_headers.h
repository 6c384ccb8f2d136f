#pragma once

#include "modules/berylcrank_http/message/http_message.h"
#include "modules/berylcrank_once/message/order_message.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Headers of a caller's request that go on to the upstream: all but those of one connection and those that
    the node sets itself. */
std::vector<order_header> forwarded_headers(std::span<const http_header> headers);

/** Headers of an upstream's answer that go on to the caller. @see forwarded_headers */
std::vector<order_header> answered_headers(std::span<const http_header> headers);

/** The same headers for the HTTP module. */
std::vector<http_header> to_http(std::span<const order_header> headers);

/** The answer that a caller sees: verdict and prefix as headers, the reason as body if there is no other. */
http_answer to_http(const order_answer& it, const std::string& id_prefix);

/** Appends the headers that each answer to a non-idempotent request carries. */
void add_verdict(std::vector<http_header>& out, run_verdict verdict, const std::string& id_prefix);

} // namespace berylcrank
