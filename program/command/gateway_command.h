#pragma once

#include "program/command/command.h"

namespace berylcrank {

/** `berylcrank gateway`: run a node of a platform deployment. @see command */
class gateway_command final : public command {
public:
    [[nodiscard]] std::string_view name() const override { return "gateway"; }
    [[nodiscard]] std::string_view summary() const override { return "run a node of a platform deployment"; }
    exit_code run(std::vector<std::string> arguments) override;
};

} // namespace berylcrank
