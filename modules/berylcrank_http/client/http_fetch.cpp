#include "modules/berylcrank_http/client/http_fetch.h"

#include "modules/berylcrank_http/client/response_completeness.h"

#include <curl/curl.h>
#include <memory>

namespace berylcrank {

namespace {

constexpr long status_ok = 200;
constexpr std::size_t max_response_bytes = 256UL << 20U;

std::size_t append_body(char* bytes, std::size_t size, std::size_t n, void* out) {
    auto& body = *static_cast<std::string*>(out);
    if (body.size() + size * n > max_response_bytes) {
        return 0;
    }
    body.append(bytes, size * n);
    return size * n;
}

} // namespace

boost::leaf::result<std::string> http_fetch(const std::string& address, const std::string& path,
                                            millis timeout) {
    const std::unique_ptr<CURL, void (*)(CURL*)> easy(curl_easy_init(), curl_easy_cleanup);
    const auto url = "http://" + address + path;
    std::string body;
    response_completeness completeness;
    completeness.observe(easy.get());
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &body);
    const auto ec = curl_easy_perform(easy.get());
    if (ec != CURLE_OK) {
        return boost::leaf::new_error(url + ": " + curl_easy_strerror(ec));
    }
    if (!completeness.has_head()) {
        return boost::leaf::new_error(url + ": the connection was closed within the head of the response");
    }
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    if (status != status_ok) {
        return boost::leaf::new_error(url + ": status " + std::to_string(status) + ": " + body);
    }
    return body;
}

} // namespace berylcrank
