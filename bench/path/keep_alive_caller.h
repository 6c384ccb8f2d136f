#pragma once

#include <cstddef>
#include <string>

namespace berylcrank::bench {

/** A blocking caller with one keep-alive connection and minimal overhead. */
class keep_alive_caller {
public:
    /** Connects to the port of `address` on loopback. Throws std::runtime_error if that fails. */
    explicit keep_alive_caller(const std::string& address);
    ~keep_alive_caller();
    keep_alive_caller(const keep_alive_caller&) = delete;
    keep_alive_caller& operator=(const keep_alive_caller&) = delete;

    /** Sends a GET request and reads the whole response.
        @return The time in microseconds. Throws std::runtime_error if the connection fails, or if the
            response is not 200 with a body of `body_bytes`. */
    double get(const std::string& path, std::size_t body_bytes);

private:
    int socket_;
    std::string buffer_;
};

} // namespace berylcrank::bench
