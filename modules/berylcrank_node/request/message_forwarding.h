#pragma once

#include "modules/berylcrank_core/verdict/run_verdict.h"
#include "modules/berylcrank_http/message/http_message.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Headers of a caller's request that are forwarded to the upstream: all except hop-by-hop headers, `Host`,
    and those that the node sets itself (`Berylcrank-Request-Id`, `Berylcrank-Timeout-Ms`). @see
    forwarded_response_headers */
std::vector<http_header> forwarded_request_headers(const http_request& it);

/** Headers of an upstream's response that are forwarded to the caller: all except hop-by-hop headers,
    `Content-Length`, `Berylcrank-Request-Id`, `Berylcrank-Load` and the upstream's own verdict. Adds
    `Berylcrank-Verdict: ran`. @see forwarded_request_headers */
std::vector<http_header> forwarded_response_headers(const http_response_head& it);

/** Content of a response that the node itself sends because no upstream did. @see refusal_response */
struct refusal {
    int status{503};
    run_verdict verdict{run_verdict::not_run};
    std::string_view reason;
    bool is_retry_useful{true}; ///< False adds `Berylcrank-Retry: no`.
};

/** Builds the response for a refusal. */
http_response refusal_response(const refusal& it);

/** Hash of a request's content; equal on all nodes. */
std::uint64_t request_fingerprint(std::string_view method, std::string_view path, std::string_view body);

} // namespace berylcrank
