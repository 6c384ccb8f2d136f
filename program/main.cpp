#include "program/command/gateway_command.h"
#ifndef BERYLCRANK_DEPLOY // A deploy build contains only the gateway command.
#include "program/command/burn_command.h"
#include "program/command/check_command.h"
#include "program/command/explain_command.h"
#include "program/command/node_command.h"
#include "program/command/publish_command.h"
#include "program/command/status_command.h"
#endif

#include <iostream>
#include <memory>
#include <string>
#include <tclap/ArgException.h>
#include <vector>

namespace berylcrank {

namespace {

using command_list = std::vector<std::unique_ptr<command>>;

command_list make_commands() {
    command_list commands;
    commands.push_back(std::make_unique<gateway_command>());
#ifndef BERYLCRANK_DEPLOY
    commands.push_back(std::make_unique<node_command>());
    commands.push_back(std::make_unique<publish_command>());
    commands.push_back(std::make_unique<check_command>());
    commands.push_back(std::make_unique<status_command>());
    commands.push_back(std::make_unique<burn_command>());
    commands.push_back(std::make_unique<explain_command>());
#endif
    return commands;
}

void print_usage(const command_list& commands, std::ostream& out) {
    out << "berylcrank " << BERYLCRANK_VERSION << ": load balancer configured by tickets\n\n"
        << "usage: berylcrank <command> [options]; berylcrank <command> --help\n\n";
    for (const auto& it : commands) {
        out << "  " << it->name() << std::string(10 - it->name().size(), ' ') << it->summary() << "\n";
    }
    out << "\nexit codes: 0 ok, 1 negative result or error, 2 invalid command line, 3 invalid input file,\n"
           "            4 platform or node unreachable, 5 unknown whether the ticket was published\n";
}

int run(int argc, char** argv) {
    const auto commands = make_commands();
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h") {
        print_usage(commands, std::cout);
        return static_cast<int>(exit_code::ok);
    }
    if (name == "--version") {
        std::cout << "berylcrank " << BERYLCRANK_VERSION << "\n";
        return static_cast<int>(exit_code::ok);
    }
    for (const auto& it : commands) {
        if (it->name() == name) {
            std::vector<std::string> arguments{"berylcrank " + std::string(name)};
            arguments.insert(arguments.end(), argv + 2, argv + argc);
            return static_cast<int>(it->run(std::move(arguments)));
        }
    }
    std::cerr << (name.empty() ? "no command given" : "unknown command \"" + std::string(name) + "\"")
              << "\n\n";
    print_usage(commands, std::cerr);
    return static_cast<int>(exit_code::usage);
}

} // namespace

} // namespace berylcrank

int main(int argc, char** argv) {
    try {
        return berylcrank::run(argc, argv);
    } catch (const TCLAP::ExitException& it) {
        return it.getExitStatus() == 0 ? 0 : static_cast<int>(berylcrank::exit_code::usage);
    } catch (const TCLAP::ArgException& it) {
        std::cerr << "berylcrank: " << it.error() << " " << it.argId() << "\n";
        return static_cast<int>(berylcrank::exit_code::usage);
    } catch (const std::exception& it) {
        std::cerr << "berylcrank: " << it.what() << "\n";
        return static_cast<int>(berylcrank::exit_code::failed);
    }
}
