#include "modules/berylcrank_platform/http/http_transfer.h"

#include <cerrno>
#include <mutex>

namespace berylcrank {

namespace {

/** Maximum size of a response body. Limits the memory that one response can use. */
constexpr std::size_t max_response_bytes = 32U << 20U;

/** Timeout for opening a connection; the result is then `no_response`. */
constexpr long connect_timeout_ms = 1000;

/** Maximum time of one poll, as a safeguard. `curl_multi_poll` returns earlier on traffic, timeouts and
    `cancel`. */
constexpr int max_poll_ms = 1000;

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* user) {
    auto& body = *static_cast<std::string*>(user);
    const auto n = size * count;
    if (body.size() + n > max_response_bytes) {
        return 0;
    }
    body.append(data, n);
    return n;
}

http_result::kind classify_result(CURLcode code, long os_error) {
    switch (code) {
    case CURLE_OK:
        return http_result::kind::completed;
    case CURLE_COULDNT_CONNECT:
        return os_error == ECONNREFUSED || os_error == ECONNRESET ? http_result::kind::refused
                                                                  : http_result::kind::no_response;
    case CURLE_GOT_NOTHING:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
    case CURLE_PARTIAL_FILE:
        return http_result::kind::refused;
    case CURLE_OPERATION_TIMEDOUT:
    case CURLE_ABORTED_BY_CALLBACK:
        return http_result::kind::no_response;
    default:
        return http_result::kind::invalid;
    }
}

} // namespace

http_transfer::http_transfer() {
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    easy_ = curl_easy_init();
    multi_ = curl_multi_init();
    // An empty "Expect" header keeps libcurl from waiting for "100 Continue" before it sends a large body.
    headers_ = curl_slist_append(nullptr, "Expect:");
    headers_ = curl_slist_append(headers_, "Content-Type: application/octet-stream");
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_PROXY, "");
    curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers_);
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, &body_);
    curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
}

http_transfer::~http_transfer() {
    curl_easy_cleanup(easy_);
    curl_multi_cleanup(multi_);
    curl_slist_free_all(headers_);
}

http_result http_transfer::get(const std::string& url, millis timeout) {
    const lock_guard guard(mutex_);
    prepare(url, timeout);
    curl_easy_setopt(easy_, CURLOPT_HTTPGET, 1L);
    return perform();
}

http_result http_transfer::post(const std::string& url, std::string_view body, millis timeout) {
    const lock_guard guard(mutex_);
    prepare(url, timeout);
    curl_easy_setopt(easy_, CURLOPT_POST, 1L);
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    return perform();
}

void http_transfer::cancel() {
    cancelled_.store(true);
    curl_multi_wakeup(multi_);
}

void http_transfer::prepare(const std::string& url, millis timeout) {
    body_.clear();
    completeness_.observe(easy_);
    curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
}

http_result http_transfer::perform() {
    curl_multi_add_handle(multi_, easy_);
    const auto code = run();
    curl_multi_remove_handle(multi_, easy_);
    long os_error = 0;
    http_result out;
    curl_easy_getinfo(easy_, CURLINFO_OS_ERRNO, &os_error);
    curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &out.status);
    out.what = classify_result(code, os_error);
    out.body = std::move(body_);
    body_.clear();
    if (code != CURLE_OK) {
        out.message = code == CURLE_ABORTED_BY_CALLBACK ? "cancelled" : curl_easy_strerror(code);
    } else if (!completeness_.has_head()) {
        out = {.what = http_result::kind::refused,
               .message = "the connection was closed within the head of the response"};
    }
    return out;
}

CURLcode http_transfer::run() {
    for (;;) {
        if (cancelled_.load()) {
            return CURLE_ABORTED_BY_CALLBACK;
        }
        int running = 0;
        if (curl_multi_perform(multi_, &running) != CURLM_OK) {
            return CURLE_FAILED_INIT;
        }
        int left = 0;
        while (const auto* it = curl_multi_info_read(multi_, &left)) {
            if (it->msg == CURLMSG_DONE) {
                return it->data.result;
            }
        }
        if (curl_multi_poll(multi_, nullptr, 0, max_poll_ms, nullptr) != CURLM_OK) {
            return CURLE_FAILED_INIT;
        }
    }
}

} // namespace berylcrank
