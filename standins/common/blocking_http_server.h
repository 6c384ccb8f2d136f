#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

struct MHD_Daemon;

namespace berylcrank::standin {

/** One request to a stand-in. */
struct plain_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> arguments; ///< Of the query.
    std::string body;

    /** A query argument as a number; `otherwise` if it is absent or not a number. */
    [[nodiscard]] std::uint64_t number(const std::string& key, std::uint64_t otherwise) const;
};

/** The answer of a stand-in. */
struct plain_answer {
    unsigned status{200};
    std::string body;
    bool closes{false}; ///< Close the connection without an answer.
};

/** An HTTP server for test programs: one thread for each connection, so that a handler may block. */
class blocking_http_server {
public:
    using handler = std::function<plain_answer(const plain_request&)>;

    /** Serves on 127.0.0.1; port 0 lets the kernel choose. Throws `std::runtime_error`. */
    blocking_http_server(std::uint16_t port, handler it);
    ~blocking_http_server();
    blocking_http_server(const blocking_http_server&) = delete;
    blocking_http_server& operator=(const blocking_http_server&) = delete;

    [[nodiscard]] std::uint16_t port() const;

    [[nodiscard]] const handler& handle() const { return handler_; }

private:
    handler handler_;
    MHD_Daemon* daemon_{nullptr};
};

/** Runs a stand-in program: reads `--port N`, serves, prints `listening http=127.0.0.1:PORT`, waits for
   SIGTERM or SIGINT. Returns the exit code. */
int run_standin(int argc, char** argv, const blocking_http_server::handler& it,
                const std::function<void()>& on_stop);

} // namespace berylcrank::standin
