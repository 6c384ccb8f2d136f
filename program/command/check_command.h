#pragma once

#include "program/command/command.h"

#include <vector>

namespace berylcrank {

/** `berylcrank check`: validate a settings or ticket file. @see command */
class check_command final : public command {
public:
    [[nodiscard]] std::string_view name() const override { return "check"; }
    [[nodiscard]] std::string_view summary() const override { return "validate a settings or ticket file"; }
    exit_code run(std::vector<std::string> arguments) override;
};

} // namespace berylcrank
