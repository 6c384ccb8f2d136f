#include "program/command/status_command.h"

#include "program/command/node_addresses.h"
#include "program/command/status_reader.h"

#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <tclap/CmdLine.h>

namespace berylcrank {

namespace {

void print_nodes(const std::vector<node_status>& nodes, std::uint64_t ticket) {
    for (const auto& node : nodes) {
        if (!node.error.empty()) {
            std::cout << node.address << "  no response: " << node.error << "\n";
            continue;
        }
        std::cout << node.address << "  vm " << node.vm << "  "
                  << (node.is_ready ? "ready" : "not ready: " + node.reason) << "  offset "
                  << node.applied_offset << "  state " << node.state_digest << "\n";
        for (const auto& t : node.tickets) {
            if (ticket == 0 || t.number == ticket) {
                std::cout << "    ticket " << t.number << " at offset " << t.offset << ": " << t.outcome
                          << (t.reason.empty() ? "" : ": " + t.reason) << "\n";
            }
        }
    }
}

exit_code print_summary(const std::vector<node_status>& nodes, std::uint64_t ticket) {
    const auto summary = summarize(nodes, ticket);
    if (ticket == 0) {
        std::cout << (summary.digests_match ? "all answering nodes have the same configuration\n"
                                            : "nodes differ in their configuration\n");
        return summary.responded == 0 ? exit_code::unreachable : exit_code::ok;
    }
    std::cout << "ticket " << ticket << " in force on " << summary.in_force << " of " << nodes.size()
              << " nodes, rejected on " << summary.rejected << ", not yet seen on " << summary.unseen
              << ", no response from " << nodes.size() - summary.responded << "\n";
    return summary.in_force == nodes.size() ? exit_code::ok : exit_code::failed;
}

} // namespace

exit_code status_command::run(std::vector<std::string> arguments) {
    TCLAP::CmdLine line(
        "Shows the tickets in force on each node. With --ticket, exit code 1 means that the ticket is not in "
        "force on all nodes.",
        ' ', BERYLCRANK_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> nodes("n", "nodes", "HTTP addresses of the nodes, separated by commas",
                                       false, "", "addresses", line);
    TCLAP::ValueArg<std::string> vm_list("v", "vm-list", "address of the VM list that lists the nodes", false,
                                         "", "address", line);
    TCLAP::ValueArg<std::uint64_t> ticket("t", "ticket", "show only this ticket", false, 0, "number", line);
    line.parse(arguments);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<exit_code> {
            BOOST_LEAF_AUTO(addresses, resolve_node_addresses(nodes.getValue(), vm_list.getValue()));
            const auto statuses = read_statuses(addresses);
            print_nodes(statuses, ticket.getValue());
            return print_summary(statuses, ticket.getValue());
        },
        [](const std::string& message) {
            std::cerr << "berylcrank status: " << message << "\n";
            return exit_code::unreachable;
        },
        [] { return exit_code::unreachable; });
}

} // namespace berylcrank
