#include "modules/berylcrank_gateway/server/http_listener.h"
#include "standins/platform_store/store_handler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

// Test double for the platform's store. Prints "listening http=ADDRESS" and runs until SIGTERM.
int main() {
    using namespace berylcrank;
    try {
        boost::asio::io_context io(1);
        const steady_clock time;
        standin::store_handler handler(io);
        static const ingress_limits limits;
        const http_listener listener(io, "127.0.0.1:0",
                                     {time, handler, []() -> const ingress_limits& { return limits; }});
        boost::asio::signal_set signals(io, SIGTERM);
        signals.async_wait([&](const auto&, int) { io.stop(); });
        std::cout << "listening http=127.0.0.1:" << listener.port() << std::endl;
        io.run();
        return 0;
    } catch (const std::exception& it) {
        std::cerr << it.what() << "\n";
        return 1;
    }
}
