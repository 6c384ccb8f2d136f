#include "program/command/status_command.h"

#include "program/command/node_addresses.h"
#include "program/command/status_reader.h"

#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <tclap/CmdLine.h>

namespace berylcrank {

namespace {

void print(const std::vector<node_status>& nodes, std::uint64_t ticket) {
    for (const auto& it : nodes) {
        if (!it.error.empty()) {
            std::cout << it.address << "  no answer: " << it.error << "\n";
            continue;
        }
        std::cout << it.address << "  vm " << it.vm << "  "
                  << (it.is_ready ? "ready" : "not ready: " + it.reason) << "  offset " << it.applied_offset
                  << "  state " << it.state_digest << "\n";
        for (const auto& t : it.tickets) {
            if (ticket == 0 || t.number == ticket) {
                std::cout << "    ticket " << t.number << " at offset " << t.offset << ": " << t.outcome
                          << (t.reason.empty() ? "" : ": " + t.reason) << "\n";
            }
        }
    }
}

exit_code judge(const std::vector<node_status>& nodes, std::uint64_t ticket) {
    const auto summary = summarize(nodes, ticket);
    if (ticket == 0) {
        std::cout << (summary.is_agreed ? "all answering nodes have the same configuration\n"
                                        : "nodes differ in their configuration\n");
        return summary.answered == 0 ? exit_code::unreachable : exit_code::ok;
    }
    std::cout << "ticket " << ticket << " in force on " << summary.in_force << " of " << nodes.size()
              << " nodes, rejected on " << summary.rejected << ", not yet seen on " << summary.unseen
              << ", no answer from " << nodes.size() - summary.answered << "\n";
    return summary.in_force == nodes.size() ? exit_code::ok : exit_code::failed;
}

} // namespace

exit_code status_command::run(std::vector<std::string> arguments) {
    TCLAP::CmdLine line(
        "Shows the tickets in force and on which nodes. With --ticket, exit code 1 means that it is "
        "not in force everywhere.",
        ' ', BERYLCRANK_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> nodes("n", "nodes", "HTTP addresses of the nodes, separated by commas",
                                       false, "", "addresses", line);
    TCLAP::ValueArg<std::string> vm_list("v", "vm-list", "address of the VM list, to find the nodes", false,
                                         "", "address", line);
    TCLAP::ValueArg<std::uint64_t> ticket("t", "ticket", "only this ticket", false, 0, "number", line);
    line.parse(arguments);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<exit_code> {
            BOOST_LEAF_AUTO(addresses, node_targets(nodes.getValue(), vm_list.getValue()));
            const auto statuses = read_statuses(addresses);
            print(statuses, ticket.getValue());
            return judge(statuses, ticket.getValue());
        },
        [](const std::string& message) {
            std::cerr << "berylcrank status: " << message << "\n";
            return exit_code::unreachable;
        },
        [] { return exit_code::unreachable; });
}

} // namespace berylcrank
