#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

struct MHD_Daemon;

namespace berylcrank::standin {

/** A request to a stand-in. */
struct standin_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> arguments; ///< Query parameters, by name.
    std::string body;

    /** Returns a query parameter as a number, or `default_value` if it is missing or not a number. */
    [[nodiscard]] std::uint64_t number(const std::string& key, std::uint64_t default_value) const;
};

/** The response of a stand-in. */
struct standin_response {
    unsigned status{200};
    std::string body;
    bool close_connection{false}; ///< Closes the connection without a response.
};

/** An HTTP server for test programs. It runs one thread for each connection, so a handler may block. */
class blocking_http_server {
public:
    using handler = std::function<standin_response(const standin_request&)>;

    /** Listens on 127.0.0.1. With port 0 the kernel chooses a free port. Throws `std::runtime_error` if the
        port cannot be opened. */
    blocking_http_server(std::uint16_t port, handler callback);
    ~blocking_http_server();
    blocking_http_server(const blocking_http_server&) = delete;
    blocking_http_server& operator=(const blocking_http_server&) = delete;

    [[nodiscard]] std::uint16_t port() const;

    [[nodiscard]] const handler& request_handler() const { return handler_; }

private:
    handler handler_;
    MHD_Daemon* daemon_{nullptr};
};

/** Runs a stand-in program: reads `--port N`, starts the server, prints `listening http=127.0.0.1:PORT`,
    waits for SIGTERM or SIGINT and calls `on_stop`. Returns the exit code. */
int run_standin(int argc, char** argv, const blocking_http_server::handler& handler,
                const std::function<void()>& on_stop);

} // namespace berylcrank::standin
