#pragma once

#include "program/command/command.h"

namespace berylcrank {

/** `berylcrank explain`: tells what log files of gateway nodes say of one request. */
class explain_command final : public command {
public:
    [[nodiscard]] std::string_view name() const override { return "explain"; }
    [[nodiscard]] std::string_view summary() const override { return "tells what logs say of one request"; }
    exit_code run(std::vector<std::string> arguments) override;
};

} // namespace berylcrank
