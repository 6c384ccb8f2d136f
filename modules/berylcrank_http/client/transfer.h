#pragma once

#include "modules/berylcrank_http/client/response_head_parser.h"
#include "modules/berylcrank_http/client/upstream_client.h"

#include <chrono>
#include <curl/curl.h>

namespace berylcrank {

/** Runs one attempt at a time on a libcurl easy handle, which is reused for later attempts. Used only on the
    thread of its shard.

    @see client_shard
*/
class transfer {
public:
    using steady = std::chrono::steady_clock;

    explicit transfer(const upstream_client::options& opts);
    ~transfer();
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;

    /** Prepares the handle for an attempt. Returns false if the request is not valid HTTP, such as a header
        with a line break. */
    bool prepare(const upstream_request& request, upstream_observer& observer, steady::time_point started);

    /** Returns the easy handle. Its CURLOPT_PRIVATE pointer is available to the owner. */
    [[nodiscard]] CURL* handle() const { return easy_; }

    /** Resumes receiving after the observer refused a block of the body. */
    void resume();

    /** Returns `timed_out` or `stalled` if the attempt has exceeded that limit at `now`, else nothing.
        libcurl does not check requests that wait for a connection. */
    [[nodiscard]] std::optional<attempt_end> check_timeouts(steady::time_point now) const;

    /** Returns the result after libcurl ended with `code` or the owner ended the attempt with `forced`. */
    attempt_result finish(CURLcode code, std::optional<attempt_end> forced);

private:
    static size_t on_header(char* data, size_t size, size_t n, void* self);
    static size_t on_body(char* data, size_t size, size_t n, void* self);
    static size_t on_read(char* out, size_t size, size_t n, void* self);
    static int on_new_socket(void* self, curl_socket_t socket, curlsocktype purpose);
    static int on_before_request(void* self, char* address, char* local_address, int port, int local_port);

    void set_common_options(const upstream_client::options& opts);
    void set_method();
    bool set_headers();
    bool add_header(std::string_view name, std::string_view value);
    bool handle_head();
    [[nodiscard]] attempt_end classify_end(CURLcode code) const;

    CURL* easy_;
    curl_slist* headers_{nullptr};
    const upstream_request* request_{nullptr};
    upstream_observer* observer_{nullptr};
    response_head_parser parser_;
    steady::time_point started_;
    steady::time_point progress_;
    std::size_t body_sent_{0};
    std::uint64_t body_received_{0};
    std::uint64_t shed_bytes_{0};
    connection_info connection_;
    std::optional<attempt_end> end_; ///< Set in a libcurl callback.
    bool is_sent_{false};            ///< The first byte may have been sent.
    bool is_shed_{false};
    bool is_paused_{false};
};

} // namespace berylcrank
