#include "program/command/gateway_command.h"

#include "modules/berylcrank_gateway/node/gateway_node.h"
#include "platform/platform_adapter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>
#include <unistd.h>

namespace berylcrank {

namespace {

/** Reloads the settings on SIGHUP and starts a graceful shutdown on SIGTERM or SIGINT. */
class signal_handler {
public:
    signal_handler(boost::asio::io_context& io, gateway_node& node, event_log& log, std::string settings_path)
        : signals_(io, SIGTERM, SIGINT, SIGHUP), node_(node), log_(log),
          settings_path_(std::move(settings_path)) {
        wait_for_signal();
    }

private:
    void wait_for_signal() {
        signals_.async_wait([this](const auto& ec, int number) {
            if (ec) {
                return;
            }
            if (number == SIGHUP) {
                reload();
            } else {
                node_.stop();
            }
            wait_for_signal();
        });
    }

    void reload() {
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(settings, read_settings_file(settings_path_));
                log_.line("reloaded")
                    .field("seeds", static_cast<std::uint64_t>(settings.gateway.seed_ips.size()))
                    .send();
                node_.set_seeds(std::move(settings.gateway.seed_ips));
                return {};
            },
            [&](const std::string& reason) { log_.line("reload-failed").field("reason", reason).send(); },
            [&] { log_.line("reload-failed").send(); });
    }

    boost::asio::signal_set signals_;
    gateway_node& node_;
    event_log& log_;
    std::string settings_path_;
};

// An unexpected error ends the handler that threw it and not the process.
void run_until_stopped(boost::asio::io_context& io, gateway_node& node) {
    while (!io.stopped()) {
        try {
            io.run();
        } catch (const std::exception& error) {
            node.report_error(error.what());
        }
    }
}

boost::leaf::result<exit_code> run_gateway(const std::string& settings_path) {
    BOOST_LEAF_AUTO(settings, read_settings_file(settings_path));
    signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context io(1);
    const boot_clock time;
    event_log log(STDOUT_FILENO, settings.gateway.self.name, time);
    const json_wire_format wire;
    http_metadata_store store(io, time, settings.store_address);
    gateway_node node(io, time, wire, store, log, settings.gateway);
    const signal_handler signals(io, node, log, settings_path);
    run_until_stopped(io, node);
    return exit_code::ok;
}

} // namespace

exit_code gateway_command::run(std::vector<std::string> arguments) {
    TCLAP::CmdLine line(
        "Runs a node of a platform deployment. SIGTERM and SIGINT start a graceful shutdown. SIGHUP reloads "
        "the seed list from the settings. Writes structured log lines to standard output.",
        ' ', BERYLCRANK_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings_path(
        "s", "settings", "settings file of the platform; default: the file named by the platform", false,
        settings_file_path(), "file", line);
    line.parse(arguments);
    return boost::leaf::try_handle_all([&] { return run_gateway(settings_path.getValue()); },
                                       [](const std::string& reason) {
                                           std::cerr << "berylcrank gateway: " << reason << "\n";
                                           return exit_code::bad_input;
                                       },
                                       [](const std::exception& error) {
                                           std::cerr << "berylcrank gateway: " << error.what() << "\n";
                                           return exit_code::failed;
                                       },
                                       [] {
                                           std::cerr << "berylcrank gateway: unknown error\n";
                                           return exit_code::failed;
                                       });
}

} // namespace berylcrank
