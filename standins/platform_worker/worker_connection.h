#pragma once

#include "standins/platform_worker/worker.h"

#include <array>
#include <memory>
#include <string>

namespace berylcrank::standin {

/** A connection of a node. */
struct worker::connection {
    explicit connection(boost::asio::ip::tcp::socket it) : socket(std::move(it)), writer(socket) {}

    boost::asio::ip::tcp::socket socket;
    socket_writer writer;
    std::unique_ptr<request_parser> parser;
    std::array<char, 16384> buf{};
    std::string last_refusal; // is written once more when the next request arrives
    bool closed{false};
};

inline constexpr const char* interim_response = "HTTP/1.1 100 Continue\r\n\r\n";

/** Returns the value of a header, or an empty string if it is missing. */
inline std::string header(const request_head& head, const std::string& name) {
    const auto* it = find_header(head.headers, name);
    return it == nullptr ? std::string() : *it;
}

} // namespace berylcrank::standin
