#include "program/command/explain_command.h"

#include "modules/berylcrank_report/timeline/request_timeline.h"

#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

namespace berylcrank {

exit_code explain_command::run(std::vector<std::string> arguments) {
    TCLAP::CmdLine line(
        "Shows the timeline of a request from the logs of gateway nodes: its log events, and state changes "
        "on the nodes that handled it from shortly before. Reads standard input if no file is given. "
        "Exit code 1: no log event of the request was found.",
        ' ', BERYLCRANK_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> id("r", "request", "id of the request", true, "", "id", line);
    std::vector<std::string> formats{"text", "json"};
    TCLAP::ValuesConstraint<std::string> format_names(formats);
    TCLAP::ValueArg<std::string> format("f", "format", "output format", false, "text", &format_names, line);
    TCLAP::UnlabeledMultiArg<std::string> files("files", "log files", false, "file", line);
    line.parse(arguments);
    request_timeline timeline(id.getValue());
    for (const auto& path : files.getValue()) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "berylcrank explain: cannot read " << path << "\n";
            return exit_code::bad_input;
        }
        timeline.read(file);
    }
    if (files.getValue().empty()) {
        timeline.read(std::cin);
    }
    if (timeline.unreadable_lines() > 0) {
        std::cerr << "berylcrank explain: " << timeline.unreadable_lines() << " lines are not log events\n";
    }
    if (timeline.events().empty()) {
        std::cerr << "berylcrank explain: no log event of request " << id.getValue() << "\n";
        return exit_code::failed;
    }
    std::cout << (format.getValue() == "json" ? timeline.to_json() : timeline.to_text());
    return exit_code::ok;
}

} // namespace berylcrank
