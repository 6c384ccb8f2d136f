#pragma once

#include "program/command/command.h"

#include <vector>

namespace berylcrank {

/** `berylcrank burn`: report the use of the error budgets. @see command */
class burn_command final : public command {
public:
    [[nodiscard]] std::string_view name() const override { return "burn"; }
    [[nodiscard]] std::string_view summary() const override { return "report the use of the error budgets"; }
    exit_code run(std::vector<std::string> arguments) override;
};

} // namespace berylcrank
