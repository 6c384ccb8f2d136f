#include "program/command/burn_command.h"

#include "modules/berylcrank_http/client/http_fetch.h"
#include "modules/berylcrank_report/berylcrank_report.h"
#include "program/command/node_addresses.h"

#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

namespace berylcrank {

namespace {

constexpr millis node_timeout{3000};

burn_report fetch_report(const std::vector<std::string>& addresses) {
    burn_report report;
    for (const auto& address : addresses) {
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(text, http_fetch(address, "/burn", node_timeout));
                return report.add_node(text);
            },
            [&](const std::string& message) {
                std::cerr << "berylcrank burn: " << message << "\n";
                report.add_missing(address);
            },
            [&] { report.add_missing(address); });
    }
    return report;
}

std::string render(const burn_report& report, const std::string& format) {
    if (format == "json") {
        return write_burn_json(report);
    }
    return format == "html" ? write_burn_html(report) : write_burn_text(report);
}

exit_code write_output(const std::string& text, const std::string& path) {
    if (path.empty()) {
        std::cout << text;
        return exit_code::ok;
    }
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) {
        std::cerr << "berylcrank burn: cannot write " << path << "\n";
        return exit_code::failed;
    }
    return exit_code::ok;
}

} // namespace

exit_code burn_command::run(std::vector<std::string> arguments) {
    TCLAP::CmdLine line(
        "Queries running nodes and reports objectives, remaining error budget and burn rates per service.",
        ' ', BERYLCRANK_VERSION);
    line.setExceptionHandling(false);
    std::vector<std::string> formats{"text", "json", "html"};
    TCLAP::ValuesConstraint<std::string> allowed(formats);
    TCLAP::ValueArg<std::string> nodes("n", "nodes", "HTTP addresses of the nodes, separated by commas",
                                       false, "", "addresses", line);
    TCLAP::ValueArg<std::string> vm_list("v", "vm-list", "address of the VM list that lists the nodes", false,
                                         "", "address", line);
    TCLAP::ValueArg<std::string> format("f", "format", "format of the report", false, "text", &allowed, line);
    TCLAP::ValueArg<std::string> output("o", "output", "output file; default: standard output", false, "",
                                        "file", line);
    line.parse(arguments);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<exit_code> {
            BOOST_LEAF_AUTO(addresses, resolve_node_addresses(nodes.getValue(), vm_list.getValue()));
            const auto report = fetch_report(addresses);
            if (report.nodes().empty()) {
                std::cerr << "berylcrank burn: no node responded\n";
                return exit_code::unreachable;
            }
            return write_output(render(report, format.getValue()), output.getValue());
        },
        [](const std::string& message) {
            std::cerr << "berylcrank burn: " << message << "\n";
            return exit_code::unreachable;
        },
        [] { return exit_code::unreachable; });
}

} // namespace berylcrank
