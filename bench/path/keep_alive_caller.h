#pragma once

#include <cstddef>
#include <string>

namespace berylcrank::bench {

/** A blocking caller on one keep-alive connection that does as little as possible itself. */
class keep_alive_caller {
public:
    explicit keep_alive_caller(const std::string& address);
    ~keep_alive_caller();
    keep_alive_caller(const keep_alive_caller&) = delete;
    keep_alive_caller& operator=(const keep_alive_caller&) = delete;

    /** Sends a GET request and reads its whole answer; returns the time in microseconds. Throws if the answer
        is not 200 with `bytes` of body. */
    double get(const std::string& path, std::size_t bytes);

private:
    int socket_;
    std::string buf_;
};

} // namespace berylcrank::bench
