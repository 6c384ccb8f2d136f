#include "program/command/check_command.h"

#include "modules/berylcrank_config/settings/settings.h"
#include "modules/berylcrank_config/ticket/ticket.h"

#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <tclap/CmdLine.h>

namespace berylcrank {

namespace {

/** Validates a file with `load` and prints its errors. Does nothing if `path` is empty. */
template <typename Load>
exit_code check_file(const std::string& path, Load load) {
    if (path.empty()) {
        return exit_code::ok;
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<exit_code> {
            BOOST_LEAF_CHECK(load(path));
            std::cout << path << ": no errors\n";
            return exit_code::ok;
        },
        [](const load_errors& errors) {
            std::cerr << to_string(errors);
            return exit_code::bad_input;
        },
        [&] {
            std::cerr << path << ": unknown error\n";
            return exit_code::bad_input;
        });
}

} // namespace

exit_code check_command::run(std::vector<std::string> arguments) {
    TCLAP::CmdLine line(
        "Validates files without starting or publishing anything. Prints each error with file, line, key, "
        "value and the allowed values.",
        ' ', BERYLCRANK_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings_path("s", "settings", "settings file of a node (YAML)", false, "",
                                               "file", line);
    TCLAP::ValueArg<std::string> ticket_path("t", "ticket", "ticket file (YAML)", false, "", "file", line);
    line.parse(arguments);
    if (settings_path.getValue().empty() && ticket_path.getValue().empty()) {
        std::cerr << "berylcrank check: --settings or --ticket is required\n";
        return exit_code::usage;
    }
    const auto settings_result = check_file(settings_path.getValue(), load_settings);
    const auto ticket_result = check_file(ticket_path.getValue(), load_ticket);
    return settings_result == exit_code::ok ? ticket_result : settings_result;
}

} // namespace berylcrank
