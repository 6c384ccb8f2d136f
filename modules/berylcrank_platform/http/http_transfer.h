#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/millis.h"
#include "modules/berylcrank_http/client/response_completeness.h"

#include <atomic>
#include <cstdint>
#include <curl/curl.h>
#include <string>
#include <string_view>

namespace berylcrank {

/** Result of an HTTP call. @see http_transfer */
struct http_result {
    enum class kind : std::uint8_t {
        completed,   ///< A complete response was received; `status` and `body` are set.
        refused,     ///< The machine is reachable, but the connection was refused, reset or closed before the
                     ///< end of the response.
        no_response, ///< The call timed out or was cancelled.
        invalid,     ///< The response is not valid HTTP or is too large.
    };

    kind what{kind::no_response};
    long status{0};
    std::string body;
    std::string message; ///< Human-readable error; empty after a complete response.
};

/** Blocking HTTP/1.1 client that keeps one connection open for reuse. Safe for concurrent use; calls are
    serialized.

    @see http_log_service, http_vm_list
*/
class http_transfer {
public:
    http_transfer();
    ~http_transfer();
    http_transfer(const http_transfer&) = delete;
    http_transfer& operator=(const http_transfer&) = delete;

    /** Sends a GET request. `timeout` applies to the whole call. */
    http_result get(const std::string& url, millis timeout);

    /** Sends a POST request with `body`. `timeout` applies to the whole call. */
    http_result post(const std::string& url, std::string_view body, millis timeout);

    /** Aborts the call in progress. All later calls fail with `no_response`. Safe from any thread. */
    void cancel();

private:
    void prepare(const std::string& url, millis timeout);
    http_result perform();
    CURLcode run();

    mutex mutex_;
    std::string body_;
    response_completeness completeness_;
    std::atomic<bool> cancelled_{false};
    CURL* easy_{nullptr};
    CURLM* multi_{nullptr};
    curl_slist* headers_{nullptr};
};

} // namespace berylcrank
