#include "program/command/explain_command.h"

#include "modules/berylcrank_report/timeline/request_timeline.h"

#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

namespace berylcrank {

exit_code explain_command::run(std::vector<std::string> arguments) {
    TCLAP::CmdLine line(
        "Tells what the logs of gateway nodes say of one request, in order of time: its lines, and "
        "changes of belief on its nodes shortly before. Reads standard input if no file is given. "
        "Exit code 1: no line concerns the request.",
        ' ', BERYLCRANK_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> id("r", "request", "id of the request", true, "", "id", line);
    std::vector<std::string> formats{"text", "json"};
    TCLAP::ValuesConstraint<std::string> format_names(formats);
    TCLAP::ValueArg<std::string> format("f", "format", "how to print it", false, "text", &format_names, line);
    TCLAP::UnlabeledMultiArg<std::string> files("files", "log files", false, "file", line);
    line.parse(arguments);
    request_story story(id.getValue());
    for (const auto& path : files.getValue()) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "berylcrank explain: cannot read " << path << "\n";
            return exit_code::bad_input;
        }
        story.read(file);
    }
    if (files.getValue().empty()) {
        story.read(std::cin);
    }
    if (story.unreadable() > 0) {
        std::cerr << "berylcrank explain: " << story.unreadable() << " lines are no log lines\n";
    }
    if (story.lines().empty()) {
        std::cerr << "berylcrank explain: no line concerns request " << id.getValue() << "\n";
        return exit_code::failed;
    }
    std::cout << (format.getValue() == "json" ? story.to_json() : story.to_text());
    return exit_code::ok;
}

} // namespace berylcrank
