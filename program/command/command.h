#pragma once

#include "program/exit_code.h"

#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** A subcommand of the `berylcrank` program.

    @see exit_code, command_list
*/
class command {
public:
    command() = default;
    command(const command&) = delete;
    command& operator=(const command&) = delete;
    virtual ~command() = default;

    /** The word that selects it. */
    [[nodiscard]] virtual std::string_view name() const = 0;

    /** One line for the list of subcommands. */
    [[nodiscard]] virtual std::string_view summary() const = 0;

    /** Runs it; `arguments` starts with the program's and the subcommand's name in one string. Command line
       errors are thrown as TCLAP exceptions. */
    virtual exit_code run(std::vector<std::string> arguments) = 0;
};

} // namespace berylcrank
