#include "program/command/node_command.h"

#include "modules/berylcrank_config/schema/load_error.h"
#include "modules/berylcrank_node/control/node.h"

#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <ctime>
#include <glog/logging.h>
#include <iostream>
#include <tclap/CmdLine.h>

namespace berylcrank {

namespace {

/** Blocks SIGTERM and SIGINT in this thread and in all threads that it creates, so that `sigtimedwait`
    receives them. */
sigset_t block_stop_signals() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    return set;
}

void wait_until_stopped(node& running, const sigset_t& stop_signals) {
    constexpr timespec poll_interval{.tv_sec = 0, .tv_nsec = 20'000'000};
    while (!running.has_left()) {
        if (sigtimedwait(&stop_signals, nullptr, &poll_interval) > 0) {
            running.leave();
        }
    }
}

boost::leaf::result<exit_code> run_node(const std::string& settings_path) {
    BOOST_LEAF_AUTO(settings, load_settings(settings_path));
    const auto stop_signals = block_stop_signals();
    signal(SIGPIPE, SIG_IGN);
    BOOST_LEAF_AUTO(running, node::start(settings));
    std::cout << "listening http=" << running->http_address() << " rpc=" << running->rpc_address()
              << std::endl;
    LOG(INFO) << "serving callers at " << running->http_address() << " and nodes at "
              << running->rpc_address();
    wait_until_stopped(*running, stop_signals);
    running.reset();
    LOG(INFO) << "stopped";
    return exit_code::ok;
}

} // namespace

exit_code node_command::run(std::vector<std::string> arguments) {
    TCLAP::CmdLine line(
        "Runs a node. SIGTERM and SIGINT start a graceful shutdown: the node is removed from address "
        "responses, completes the requests in flight and exits with code 0.",
        ' ', BERYLCRANK_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings_path("s", "settings", "settings file (YAML)", true, "", "file",
                                               line);
    line.parse(arguments);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging("berylcrank");
    return boost::leaf::try_handle_all([&] { return run_node(settings_path.getValue()); },
                                       [](const load_errors& errors) {
                                           std::cerr << to_string(errors);
                                           return exit_code::bad_input;
                                       },
                                       [](const std::string& message) {
                                           std::cerr << "berylcrank node: " << message << "\n";
                                           return exit_code::failed;
                                       },
                                       [] {
                                           std::cerr << "berylcrank node: unknown error\n";
                                           return exit_code::failed;
                                       });
}

} // namespace berylcrank
