#include "program/command/publish_command.h"

#include "modules/berylcrank_config/state/record_codec.h"
#include "modules/berylcrank_config/ticket/ticket.h"
#include "modules/berylcrank_platform/log/http_log_service.h"
#include "program/command/node_addresses.h"
#include "program/command/status_reader.h"

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <iostream>
#include <tclap/CmdLine.h>
#include <thread>

namespace berylcrank {

namespace {

constexpr std::chrono::milliseconds retry_interval{200};
constexpr std::chrono::milliseconds status_interval{100};

struct publish_options {
    std::string log_address;
    int tries{1};
};

/** Appends the ticket. If the outcome of an append is unknown, appends the same ticket again. This is safe
    because nodes ignore a ticket whose number and content they have already processed. */
exit_code append_ticket(const ticket& change, const publish_options& options) {
    http_log_service log({.address = options.log_address});
    const auto record = encode_ticket_record(change);
    auto result = exit_code::unknown_outcome;
    for (int n = 0; n < options.tries && result == exit_code::unknown_outcome; ++n) {
        if (n > 0) {
            std::this_thread::sleep_for(retry_interval);
        }
        result = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<exit_code> {
                BOOST_LEAF_AUTO(offset, log.append(record));
                std::cout << "ticket " << change.number << " is on the log at offset " << offset << "\n";
                return exit_code::ok;
            },
            [&](const log_error& error) {
                std::cerr << "berylcrank publish: " << error.message << "\n";
                return error.what == log_error::kind::too_large ? exit_code::bad_input
                                                                : exit_code::unknown_outcome;
            },
            [] { return exit_code::unknown_outcome; });
    }
    if (result == exit_code::unknown_outcome) {
        std::cerr << "berylcrank publish: unknown whether ticket " << change.number
                  << " is on the log; publish the same file again\n";
    }
    return result;
}

/** Waits until the ticket is in force on all nodes. Returns `failed` if a node rejected it or the time is
 * over. */
exit_code wait_until_in_force(std::uint64_t number, const std::vector<std::string>& addresses, int wait_ms) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
    for (;;) {
        const auto statuses = read_statuses(addresses);
        const auto summary = summarize(statuses, number);
        const bool is_late = std::chrono::steady_clock::now() >= end;
        if (summary.in_force == addresses.size() || summary.rejected > 0 || is_late) {
            for (const auto& node : statuses) {
                for (const auto& ticket : node.tickets) {
                    if (ticket.number == number && ticket.outcome == "rejected") {
                        std::cout << "rejected by " << node.vm << ": " << ticket.reason << "\n";
                    }
                }
            }
            std::cout << "in force on " << summary.in_force << " of " << addresses.size() << " nodes\n";
            return summary.in_force == addresses.size() ? exit_code::ok : exit_code::failed;
        }
        std::this_thread::sleep_for(status_interval);
    }
}

} // namespace

exit_code publish_command::run(std::vector<std::string> arguments) {
    TCLAP::CmdLine line("Validates a ticket and appends it to the log. With --nodes or --vm-list, waits "
                        "until the ticket is in "
                        "force on all nodes.",
                        ' ', BERYLCRANK_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> log_address("l", "log", "address of the log service", true, "", "address",
                                             line);
    TCLAP::ValueArg<std::string> path("t", "ticket", "ticket file (YAML)", true, "", "file", line);
    TCLAP::ValueArg<int> tries("r", "tries", "maximum number of appends while the outcome is unknown", false,
                               5, "number", line);
    TCLAP::ValueArg<std::string> nodes("n", "nodes",
                                       "HTTP addresses of the nodes to wait for, separated by commas", false,
                                       "", "addresses", line);
    TCLAP::ValueArg<std::string> vm_list("v", "vm-list", "address of the VM list that lists the nodes", false,
                                         "", "address", line);
    TCLAP::ValueArg<int> wait_ms("w", "wait-ms", "maximum time to wait for the nodes", false, 5000, "ms",
                                 line);
    line.parse(arguments);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<exit_code> {
            BOOST_LEAF_AUTO(change, load_ticket(path.getValue()));
            const auto published =
                append_ticket(change, {.log_address = log_address.getValue(), .tries = tries.getValue()});
            if (published != exit_code::ok || (nodes.getValue().empty() && vm_list.getValue().empty())) {
                return published;
            }
            BOOST_LEAF_AUTO(addresses, resolve_node_addresses(nodes.getValue(), vm_list.getValue()));
            return wait_until_in_force(change.number, addresses, wait_ms.getValue());
        },
        [](const load_errors& errors) {
            std::cerr << to_string(errors);
            return exit_code::bad_input;
        },
        [](const std::string& message) {
            std::cerr << "berylcrank publish: " << message << "\n";
            return exit_code::unreachable;
        },
        [] { return exit_code::failed; });
}

} // namespace berylcrank
