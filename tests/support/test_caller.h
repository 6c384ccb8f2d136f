#pragma once

#include "modules/berylcrank_http/message/http_message.h"

#include <functional>
#include <string>
#include <vector>

namespace berylcrank::testing {

/** The response to a test request. */
struct test_response {
    bool is_connected{false}; ///< False if the connection was refused, so that nothing was sent.
    bool is_complete{false};  ///< False if the response is incomplete or missing.
    int status{0};
    std::vector<http_header> headers;
    std::string body;

    /** Value of a header; empty if it is missing. */
    [[nodiscard]] std::string header(std::string_view name) const;

    /** Value of `Berylcrank-Verdict`. */
    [[nodiscard]] std::string verdict() const { return header("Berylcrank-Verdict"); }
};

/** A test request. */
struct test_request {
    std::string address;
    std::string method{"GET"};
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    long timeout_ms{10000};
    std::string from{}; ///< IP address to send from; empty for any.
};

/** Sends a request on a new connection and waits for the response. */
test_response send(const test_request& request);

/** Requests `/address` from a node and returns its order id prefix. Throws `std::runtime_error` without a
    response of status 200. */
std::string fetch_id_prefix(const std::string& address);

/** Sends an order with the given id. */
test_response send_order(const std::string& address, const std::string& service, const std::string& id,
                         const std::string& body, long timeout_ms = 10000);

/** Polls `is_met` every 5 ms until it returns true. Throws `std::runtime_error` with `what` after
    `timeout_ms`. */
void wait_until(const std::string& what, const std::function<bool()>& is_met, int timeout_ms = 20000);

} // namespace berylcrank::testing
