#include "tests/support/test_caller.h"

#include <chrono>
#include <curl/curl.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <stdexcept>

namespace berylcrank::testing {

namespace {

std::size_t take_body(char* bytes, std::size_t size, std::size_t n, void* out) {
    static_cast<test_response*>(out)->body.append(bytes, size * n);
    return size * n;
}

std::size_t take_header(char* bytes, std::size_t size, std::size_t n, void* out) {
    const std::string_view line(bytes, size * n);
    const auto colon = line.find(": ");
    const auto end = line.find('\r');
    if (colon != std::string_view::npos && end != std::string_view::npos && end >= colon + 2) {
        static_cast<test_response*>(out)->headers.push_back(
            {std::string(line.substr(0, colon)), std::string(line.substr(colon + 2, end - colon - 2))});
    }
    return size * n;
}

using curl_list = std::unique_ptr<curl_slist, void (*)(curl_slist*)>;

curl_list make_list(const std::vector<http_header>& headers) {
    curl_list list(curl_slist_append(nullptr, "Expect:"), curl_slist_free_all);
    for (const auto& header : headers) {
        list.reset(curl_slist_append(list.release(), (header.name + ": " + header.value).c_str()));
    }
    return list;
}

} // namespace

std::string test_response::header(std::string_view name) const {
    return std::string(find_header(headers, name).value_or(""));
}

test_response send(const test_request& request) {
    const std::unique_ptr<CURL, void (*)(CURL*)> easy(curl_easy_init(), curl_easy_cleanup);
    test_response response;
    const auto url = "http://" + request.address + request.path;
    const auto list = make_list(request.headers);
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, request.timeout_ms);
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, list.get());
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &response);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &response);
    const auto from = "host!" + request.from;
    if (!request.from.empty()) {
        curl_easy_setopt(easy.get(), CURLOPT_INTERFACE, from.c_str());
    }
    if (request.method != "GET") {
        curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, request.method.c_str());
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, request.body.c_str());
    }
    const auto ec = curl_easy_perform(easy.get());
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    response.is_connected = ec != CURLE_COULDNT_CONNECT;
    response.is_complete = ec == CURLE_OK;
    return response;
}

std::string fetch_id_prefix(const std::string& address) {
    const auto response = send({.address = address, .path = "/address"});
    if (!response.is_complete || response.status != 200) {
        throw std::runtime_error("no /address response from " + address + ": " + response.body);
    }
    return nlohmann::json::parse(response.body).at("id_prefix").get<std::string>();
}

test_response send_order(const std::string& address, const std::string& service, const std::string& id,
                         const std::string& body, long timeout_ms) {
    return send({.address = address,
                 .method = "POST",
                 .path = "/s/" + service + "/order",
                 .headers = {{"Idempotency-Key", id}, {"Berylcrank-Timeout-Ms", std::to_string(timeout_ms)}},
                 .body = body,
                 .timeout_ms = timeout_ms + 2000});
}

void wait_until(const std::string& what, const std::function<bool()>& is_met, int timeout_ms) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
    while (!is_met()) {
        if (std::chrono::steady_clock::now() > end) {
            throw std::runtime_error("timed out waiting for: " + what);
        }
        poll(nullptr, 0, 5);
    }
}

} // namespace berylcrank::testing
