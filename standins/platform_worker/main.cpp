#include "standins/platform_worker/worker.h"

#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <tclap/CmdLine.h>

// Test double for a worker of the platform. Prints "listening http=ADDRESS" and runs until SIGTERM.
int main(int argc, char** argv) {
    using namespace berylcrank;
    try {
        TCLAP::CmdLine line("Test double for a worker of the platform.", ' ', "1");
        const TCLAP::ValueArg<std::string> id("", "id", "instance id of the worker", true, "", "id", line);
        const TCLAP::ValueArg<int> slots("", "slots", "requests that run concurrently", false, 4, "n", line);
        const TCLAP::ValueArg<int> work("", "work-ms", "service time of a request", false, 10, "ms", line);
        const TCLAP::ValueArg<int> bytes("", "body-bytes", "size of a response body", false, 100, "bytes",
                                         line);
        const TCLAP::ValueArg<std::uint16_t> port("", "port", "port to listen on; 0 for any free one", false,
                                                  0, "port", line);
        line.parse(argc, argv);
        boost::asio::io_context io(1);
        const standin::worker it(io,
                                 {.id = id.getValue(),
                                  .slots = slots.getValue(),
                                  .work_ms = work.getValue(),
                                  .body_bytes = static_cast<std::size_t>(bytes.getValue())},
                                 port.getValue());
        boost::asio::signal_set signals(io, SIGTERM);
        signals.async_wait([&](const auto&, int) { io.stop(); });
        std::cout << "listening http=127.0.0.1:" << it.port() << std::endl;
        io.run();
        return 0;
    } catch (const std::exception& it) {
        std::cerr << it.what() << "\n";
        return 1;
    }
}
