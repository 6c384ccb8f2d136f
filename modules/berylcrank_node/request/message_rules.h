#pragma once

#include "modules/berylcrank_core/verdict/run_verdict.h"
#include "modules/berylcrank_http/message/http_message.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Headers of a caller's request that go to the upstream: without hop-by-hop headers, `Host`, and those that
    the node sets itself (`Berylcrank-Request-Id`, `Berylcrank-Timeout-Ms`). @see answer_headers */
std::vector<http_header> upstream_headers(const http_request& it);

/** Headers of an upstream's answer that go to the caller: without hop-by-hop headers, `Content-Length`,
    `Berylcrank-Request-Id`, `Berylcrank-Load` and the upstream's own verdict; with `Berylcrank-Verdict: ran`.
    @see upstream_headers */
std::vector<http_header> answer_headers(const http_response_head& it);

/** What a caller is told when there is no answer of an upstream. @see refusal_answer */
struct refusal {
    int status{503};
    run_verdict verdict{run_verdict::not_run};
    std::string_view reason;
    bool is_retry_useful{true}; ///< False adds `Berylcrank-Retry: no`.
};

/** The answer for a refusal. */
http_response refusal_answer(const refusal& it);

/** Identifies a request by its content, equally in all nodes. */
std::uint64_t request_fingerprint(std::string_view method, std::string_view path, std::string_view body);

} // namespace berylcrank
