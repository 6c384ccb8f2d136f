#include "standins/common/serve.h"

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

namespace berylcrank::standins {

namespace {

sigset_t stop_signals() {
    sigset_t it;
    sigemptyset(&it);
    sigaddset(&it, SIGTERM);
    sigaddset(&it, SIGINT);
    return it;
}

void drain_exchanges(http_server& server) {
    server.stop_accepting();
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (server.open_exchanges() != 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

} // namespace

void block_stop_signals() {
    const auto set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int serve(const http_server::options& it, http_handler& handler) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(server, start_http_server(it, handler));
            std::cout << "listening http=" << server->address() << std::endl;
            const auto set = stop_signals();
            int received = 0;
            sigwait(&set, &received);
            drain_exchanges(*server);
            return 0;
        },
        [](const std::string& reason) {
            std::cerr << reason << "\n";
            return 1;
        },
        [] {
            std::cerr << "cannot start the server\n";
            return 1;
        });
}

} // namespace berylcrank::standins
