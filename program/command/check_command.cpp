#include "program/command/check_command.h"

#include "modules/berylcrank_config/settings/settings.h"
#include "modules/berylcrank_config/ticket/ticket.h"

#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <tclap/CmdLine.h>

namespace berylcrank {

namespace {

/** Runs `load` on the file and prints its faults; a file that was not named is not checked. */
template <typename Load>
exit_code check_file(const std::string& path, Load load) {
    if (path.empty()) {
        return exit_code::ok;
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<exit_code> {
            BOOST_LEAF_CHECK(load(path));
            std::cout << path << ": no faults\n";
            return exit_code::ok;
        },
        [](const load_errors& it) {
            std::cerr << to_string(it);
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
        "Checks files without running or publishing anything. All faults are printed with file, line, "
        "key, value and what is allowed.",
        ' ', BERYLCRANK_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings_path("s", "settings", "settings file of a node", false, "", "file",
                                               line);
    TCLAP::ValueArg<std::string> ticket_path("t", "ticket", "ticket file", false, "", "file", line);
    line.parse(arguments);
    if (settings_path.getValue().empty() && ticket_path.getValue().empty()) {
        std::cerr << "berylcrank check: give --settings or --ticket\n";
        return exit_code::usage;
    }
    const auto settings_result = check_file(settings_path.getValue(), load_settings);
    const auto ticket_result = check_file(ticket_path.getValue(), load_ticket);
    return settings_result == exit_code::ok ? ticket_result : settings_result;
}

} // namespace berylcrank
