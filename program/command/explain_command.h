#pragma once

#include "program/command/command.h"

namespace berylcrank {

/** `berylcrank explain`: show the timeline of a request from the logs of gateway nodes. @see command */
class explain_command final : public command {
public:
    [[nodiscard]] std::string_view name() const override { return "explain"; }
    [[nodiscard]] std::string_view summary() const override { return "show the timeline of a request"; }
    exit_code run(std::vector<std::string> arguments) override;
};

} // namespace berylcrank
