#pragma once

#include "program/command/command.h"

#include <vector>

namespace berylcrank {

/** `berylcrank status`: show the tickets in force on each node. @see command */
class status_command final : public command {
public:
    [[nodiscard]] std::string_view name() const override { return "status"; }
    [[nodiscard]] std::string_view summary() const override {
        return "show the tickets in force on each node";
    }
    exit_code run(std::vector<std::string> arguments) override;
};

} // namespace berylcrank
