#pragma once

#include "program/command/command.h"

#include <vector>

namespace berylcrank {

/** `berylcrank publish`: publish a ticket to the log. @see command */
class publish_command final : public command {
public:
    [[nodiscard]] std::string_view name() const override { return "publish"; }
    [[nodiscard]] std::string_view summary() const override { return "publish a ticket to the log"; }
    exit_code run(std::vector<std::string> arguments) override;
};

} // namespace berylcrank
