#pragma once

#include "program/command/command.h"

#include <vector>

namespace berylcrank {

/** `berylcrank check`: check settings or a ticket without running anything. @see command */
class check_command final : public command {
public:
    [[nodiscard]] std::string_view name() const override { return "check"; }
    [[nodiscard]] std::string_view summary() const override {
        return "check settings or a ticket without running anything";
    }
    exit_code run(std::vector<std::string> arguments) override;
};

} // namespace berylcrank
