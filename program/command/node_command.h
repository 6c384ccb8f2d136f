#pragma once

#include "program/command/command.h"

#include <vector>

namespace berylcrank {

/** `berylcrank node`: run a node until SIGTERM. @see command */
class node_command final : public command {
public:
    [[nodiscard]] std::string_view name() const override { return "node"; }
    [[nodiscard]] std::string_view summary() const override { return "run a node until SIGTERM"; }
    exit_code run(std::vector<std::string> arguments) override;
};

} // namespace berylcrank
