#pragma once

#include "program/command/command.h"

#include <vector>

namespace berylcrank {

/** `berylcrank burn`: report error budgets and burn rates. @see command */
class burn_command final : public command {
public:
    [[nodiscard]] std::string_view name() const override { return "burn"; }
    [[nodiscard]] std::string_view summary() const override { return "report error budgets and burn rates"; }
    exit_code run(std::vector<std::string> arguments) override;
};

} // namespace berylcrank
