#pragma once

#include "modules/berylcrank_http/server/connection_monitor.h"
#include "modules/berylcrank_http/server/http_server.h"
#include "modules/berylcrank_http/server/mhd_daemon.h"
#include "modules/berylcrank_http/server/mhd_exchange.h"

#include <atomic>
#include <cstdarg>
#include <optional>

namespace berylcrank {

/** Implements http_server with one libmicrohttpd daemon per event loop. All accept from the same socket.

    @see start_http_server, mhd_daemon, mhd_exchange, connection_monitor
*/
class mhd_server final : public http_server {
public:
    mhd_server(const options& opts, http_handler& handler);
    ~mhd_server() override;
    mhd_server(const mhd_server&) = delete;
    mhd_server& operator=(const mhd_server&) = delete;

    /** Starts to serve the listening socket and takes ownership of it. Returns false, without ownership, if
        libmicrohttpd cannot start. */
    bool start(int socket);

    [[nodiscard]] std::string address() const override { return address_; }
    [[nodiscard]] std::size_t open_exchanges() const override { return open_exchanges_.load(); }
    [[nodiscard]] counters totals() const override;
    void stop_accepting() override;

private:
    struct active_request; ///< State of one request on a connection, from its request line to its end.

    /** Starts a daemon on a duplicate of the socket. Returns null if libmicrohttpd cannot start. */
    MHD_Daemon* start_daemon(int socket);

    static void* on_request_line(void* self, const char* uri, MHD_Connection* connection);
    static MHD_Result on_request_data(void* self, MHD_Connection* connection, const char* url,
                                      const char* method, const char* version, const char* data,
                                      std::size_t* size, void** request);
    static void on_completed(void* self, MHD_Connection* connection, void** request,
                             MHD_RequestTerminationCode code);
    static void on_connection(void* self, MHD_Connection* connection, void** context,
                              MHD_ConnectionNotificationCode code);
    static void on_log(void* self, const char* format, std::va_list values) noexcept;

    MHD_Result handle_head(active_request& active, const char* method, const char* version);
    MHD_Result handle_body(active_request& active, std::span<const char> bytes);
    MHD_Result handle_end(active_request& active);
    unsigned check_head(active_request& active, std::string_view version);
    MHD_Result refuse(const active_request& active, unsigned status);
    void count_refusal(unsigned status);

    options options_;
    http_handler& handler_;
    std::string address_;
    std::shared_ptr<loop_group> loops_;
    std::vector<std::unique_ptr<mhd_daemon>> daemons_;
    std::atomic<bool> is_closing_{false};
    std::atomic<bool> is_stopping_{false};
    std::atomic<std::size_t> open_exchanges_{0};
    std::atomic<std::uint64_t> requests_{0};
    std::atomic<std::uint64_t> body_too_large_{0};
    std::atomic<std::uint64_t> header_too_large_{0};
    std::atomic<std::uint64_t> malformed_{0};
    std::atomic<std::uint64_t> too_slow_{0};
    std::atomic<std::uint64_t> disconnected_{0};
    connection_monitor monitor_;
};

} // namespace berylcrank
