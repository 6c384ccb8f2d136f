#pragma once

#include "program/exit_code.h"

#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Subcommand of the `berylcrank` program.

    @see exit_code
*/
class command {
public:
    command() = default;
    command(const command&) = delete;
    command& operator=(const command&) = delete;
    virtual ~command() = default;

    /** Returns the name of the subcommand on the command line. */
    [[nodiscard]] virtual std::string_view name() const = 0;

    /** Returns a one-line description for the list of subcommands. */
    [[nodiscard]] virtual std::string_view summary() const = 0;

    /** Runs the subcommand. The first element of `arguments` contains the names of the program and the
        subcommand.

        @throws TCLAP::ArgException  if the command line is invalid
        @throws TCLAP::ExitException after the output of `--help` or `--version` */
    virtual exit_code run(std::vector<std::string> arguments) = 0;
};

} // namespace berylcrank
