#pragma once

#include "modules/berylcrank_http/message/http_message.h"

#include <functional>
#include <string>
#include <vector>

namespace berylcrank::testing {

/** Answer to a request of a test. */
struct test_answer {
    bool is_connected{false}; ///< False: the connection was refused, nothing was sent.
    bool is_whole{false};     ///< False: the answer ended early or never came.
    int status{0};
    std::vector<http_header> headers;
    std::string body;

    /** Value of a header; empty if there is none. */
    [[nodiscard]] std::string header(std::string_view name) const;

    /** Value of `Berylcrank-Verdict`. */
    [[nodiscard]] std::string verdict() const { return header("Berylcrank-Verdict"); }
};

/** A request of a test. */
struct test_request {
    std::string address;
    std::string method{"GET"};
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    long timeout_ms{10000};
};

/** Sends a request on a new connection and waits for the answer. */
test_answer send(const test_request& it);

/** An order id prefix of the node at `address`, from its address answer; fails the test if there is none. */
std::string fetch_prefix(const std::string& address);

/** Sends an order with the given id. */
test_answer send_order(const std::string& address, const std::string& service, const std::string& id,
                       const std::string& body, long timeout_ms = 10000);

/** Polls `is_met` every 5 ms until it is true; fails the test with `what` after `limit_ms`. */
void wait_until(const std::string& what, const std::function<bool()>& is_met, int limit_ms = 20000);

} // namespace berylcrank::testing
