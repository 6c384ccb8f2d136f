#include "standins/common/blocking_http_server.h"

#include <arpa/inet.h>
#include <charconv>
#include <csignal>
#include <cstring>
#include <iostream>
#include <memory>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdexcept>
#include <string_view>

namespace berylcrank::standin {

namespace {

MHD_Result store_argument(void* user, MHD_ValueKind, const char* key, const char* value) {
    auto& arguments = *static_cast<std::map<std::string, std::string>*>(user);
    arguments[key] = value == nullptr ? "" : value;
    return MHD_YES;
}

MHD_Result respond(const blocking_http_server& server, MHD_Connection* connection, standin_request& request) {
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, store_argument, &request.arguments);
    standin_response response;
    try {
        response = server.request_handler()(request);
    } catch (const std::exception& ex) {
        response = {.status = 400, .body = std::string("\"") + ex.what() + "\""};
    }
    if (response.close_connection) {
        return MHD_NO;
    }
    auto* mhd_response = MHD_create_response_from_buffer(
        response.body.size(), const_cast<char*>(response.body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(mhd_response, "Content-Type", "application/json");
    const auto result = MHD_queue_response(connection, response.status, mhd_response);
    MHD_destroy_response(mhd_response);
    return result;
}

MHD_Result on_request(void* user, MHD_Connection* connection, const char* url, const char* method,
                      const char*, const char* data, std::size_t* size, void** state) {
    if (*state == nullptr) {
        *state = new standin_request{.method = method, .path = url};
        return MHD_YES;
    }
    auto& request = *static_cast<standin_request*>(*state);
    if (*size > 0) {
        request.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    return respond(*static_cast<blocking_http_server*>(user), connection, request);
}

void on_completed(void*, MHD_Connection*, void** state, MHD_RequestTerminationCode) {
    const std::unique_ptr<standin_request> request(static_cast<standin_request*>(*state));
    *state = nullptr;
}

} // namespace

std::uint64_t standin_request::number(const std::string& key, std::uint64_t default_value) const {
    const auto it = arguments.find(key);
    std::uint64_t n = 0;
    if (it == arguments.end()) {
        return default_value;
    }
    const auto* last = it->second.data() + it->second.size();
    const auto [end, ec] = std::from_chars(it->second.data(), last, n);
    return ec == std::errc{} && end == last ? n : default_value;
}

blocking_http_server::blocking_http_server(std::uint16_t port, handler callback)
    : handler_(std::move(callback)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    daemon_ = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0, nullptr,
                               nullptr, on_request, this, MHD_OPTION_SOCK_ADDR, &address,
                               MHD_OPTION_NOTIFY_COMPLETED, on_completed, nullptr, MHD_OPTION_END);
    if (daemon_ == nullptr) {
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    }
}

blocking_http_server::~blocking_http_server() {
    MHD_stop_daemon(daemon_);
}

std::uint16_t blocking_http_server::port() const {
    return MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
}

int run_standin(int argc, char** argv, const blocking_http_server::handler& handler,
                const std::function<void()>& on_stop) {
    std::uint16_t port = 0;
    for (int i = 1; i + 1 < argc; i += 2) {
        if (std::string_view(argv[i]) == "--port") {
            std::from_chars(argv[i + 1], argv[i + 1] + std::strlen(argv[i + 1]), port);
        }
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        const blocking_http_server server(port, handler);
        std::cout << "listening http=127.0.0.1:" << server.port() << std::endl;
        int signal = 0;
        sigwait(&signals, &signal);
        on_stop();
    } catch (const std::runtime_error& ex) {
        std::cerr << ex.what() << "\n";
        return 1;
    }
    return 0;
}

} // namespace berylcrank::standin
