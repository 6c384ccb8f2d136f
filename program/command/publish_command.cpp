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

/** Appends the ticket. After an unclear failure it appends the same ticket again: nodes recognise a number
   and content that they have seen, so this can do no harm. */
exit_code append_ticket(const ticket& it, const publish_options& options) {
    http_log_service log({.address = options.log_address});
    const auto record = encode_ticket_record(it);
    auto result = exit_code::unclear;
    for (int n = 0; n < options.tries && result == exit_code::unclear; ++n) {
        if (n > 0) {
            std::this_thread::sleep_for(retry_interval);
        }
        result = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<exit_code> {
                BOOST_LEAF_AUTO(offset, log.append(record));
                std::cout << "ticket " << it.number << " is on the log at offset " << offset << "\n";
                return exit_code::ok;
            },
            [&](const log_error& error) {
                std::cerr << "berylcrank publish: " << error.message << "\n";
                return error.what == log_error::kind::too_large ? exit_code::bad_input : exit_code::unclear;
            },
            [] { return exit_code::unclear; });
    }
    if (result == exit_code::unclear) {
        std::cerr << "berylcrank publish: it is not known whether ticket " << it.number
                  << " is on the log; publish the same file again\n";
    }
    return result;
}

/** Waits until each node has decided on the ticket; `failed` if one rejected it or has not seen it in time.
 */
exit_code wait_in_force(std::uint64_t number, const std::vector<std::string>& addresses, int wait_ms) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
    for (;;) {
        const auto statuses = read_statuses(addresses);
        const auto summary = summarize(statuses, number);
        const bool is_late = std::chrono::steady_clock::now() >= end;
        if (summary.in_force == addresses.size() || summary.rejected > 0 || is_late) {
            for (const auto& node : statuses) {
                for (const auto& it : node.tickets) {
                    if (it.number == number && it.outcome == "rejected") {
                        std::cout << "rejected by " << node.vm << ": " << it.reason << "\n";
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
    TCLAP::CmdLine line(
        "Checks a ticket and appends it to the log. With --nodes or --vm-list it waits until the ticket is "
        "in force on each node.",
        ' ', BERYLCRANK_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> log_address("l", "log", "address of the log service", true, "", "address",
                                             line);
    TCLAP::ValueArg<std::string> path("t", "ticket", "ticket file (YAML)", true, "", "file", line);
    TCLAP::ValueArg<int> tries("r", "tries", "appends to try while the outcome is unclear", false, 5,
                               "number", line);
    TCLAP::ValueArg<std::string> nodes("n", "nodes", "HTTP addresses of the nodes to wait for", false, "",
                                       "addresses", line);
    TCLAP::ValueArg<std::string> vm_list("v", "vm-list", "address of the VM list, to find the nodes", false,
                                         "", "address", line);
    TCLAP::ValueArg<int> wait_ms("w", "wait-ms", "how long to wait for the nodes", false, 5000, "ms", line);
    line.parse(arguments);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<exit_code> {
            BOOST_LEAF_AUTO(it, load_ticket(path.getValue()));
            const auto published =
                append_ticket(it, {.log_address = log_address.getValue(), .tries = tries.getValue()});
            if (published != exit_code::ok || (nodes.getValue().empty() && vm_list.getValue().empty())) {
                return published;
            }
            BOOST_LEAF_AUTO(addresses, node_targets(nodes.getValue(), vm_list.getValue()));
            return wait_in_force(it.number, addresses, wait_ms.getValue());
        },
        [](const load_errors& it) {
            std::cerr << to_string(it);
            return exit_code::bad_input;
        },
        [](const std::string& message) {
            std::cerr << "berylcrank publish: " << message << "\n";
            return exit_code::unreachable;
        },
        [] { return exit_code::failed; });
}

} // namespace berylcrank
