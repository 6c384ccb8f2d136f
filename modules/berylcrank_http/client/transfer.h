#pragma once

#include "modules/berylcrank_http/client/response_head_parser.h"
#include "modules/berylcrank_http/client/upstream_client.h"

#include <chrono>
#include <curl/curl.h>

namespace berylcrank {

/** One attempt on a libcurl easy handle. The handle is used again for later attempts. Belongs to the thread
   of its shard.

    @see client_shard
*/
class transfer {
public:
    using steady = std::chrono::steady_clock;

    explicit transfer(const upstream_client::options& it);
    ~transfer();
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;

    /** Prepares the handle for an attempt; false if the request cannot be written as HTTP. */
    bool prepare(const upstream_request& request, upstream_observer& observer, steady::time_point started);

    /** The handle; its private pointer is free for the owner. */
    [[nodiscard]] CURL* handle() const { return easy_; }

    /** Continues after a refused part of the body. */
    void resume();

    /** Why the attempt must end now, if it must: stalled or past its time. Curl does not check requests that
        wait for a connection. */
    [[nodiscard]] std::optional<attempt_end> overdue(steady::time_point now) const;

    /** The result after libcurl has ended with `code`, or after the owner has decided on `forced`. */
    attempt_result finish(CURLcode code, std::optional<attempt_end> forced);

private:
    static size_t on_header(char* data, size_t size, size_t n, void* self);
    static size_t on_body(char* data, size_t size, size_t n, void* self);
    static size_t on_read(char* out, size_t size, size_t n, void* self);
    static int on_socket(void* self, curl_socket_t socket, curlsocktype purpose);
    static int on_before_request(void* self, char* address, char* local_address, int port, int local_port);

    void set_fixed_options(const upstream_client::options& it);
    void set_method();
    bool set_headers();
    bool add_header(std::string_view name, std::string_view value);
    bool take_head();
    [[nodiscard]] attempt_end end_of(CURLcode code) const;

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
    std::optional<attempt_end> end_; ///< Decided in a callback.
    bool is_sent_{false};            ///< The first byte may have left.
    bool is_shed_{false};
    bool is_paused_{false};
};

} // namespace berylcrank
