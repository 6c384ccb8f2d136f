#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/millis.h"

#include <atomic>
#include <cstdint>
#include <curl/curl.h>
#include <string>
#include <string_view>

namespace berylcrank {

/** How a transfer ended. @see http_transfer */
struct http_result {
    enum class kind : std::uint8_t {
        answered, ///< Status and body are set.
        refused,  ///< The machine answered, but no server did: connection refused, reset or closed.
        silent,   ///< Nothing came in time, or the transfer was cancelled.
        invalid,  ///< The answer is not HTTP or is too large.
    };

    kind what{kind::silent};
    long status{0};
    std::string body;
    std::string message; ///< For people, if there is no answer.
};

/** Blocking HTTP/1.1 calls over one kept connection. Calls from several threads run one after another.

    @see http_log_service, http_vm_list
*/
class http_transfer {
public:
    http_transfer();
    ~http_transfer();
    http_transfer(const http_transfer&) = delete;
    http_transfer& operator=(const http_transfer&) = delete;

    /** Sends a GET. `limit` bounds the whole call. */
    http_result get(const std::string& url, millis limit);

    /** Sends a POST with `body`. */
    http_result post(const std::string& url, std::string_view body, millis limit);

    /** Ends the call in progress and fails later ones. Safe from any thread. */
    void cancel();

private:
    void prepare(const std::string& url, millis limit);
    http_result perform();
    CURLcode run();

    mutex mutex_;
    std::string body_;
    std::atomic<bool> cancelled_{false};
    CURL* easy_{nullptr};
    CURLM* multi_{nullptr};
    curl_slist* headers_{nullptr};
};

} // namespace berylcrank
