#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace berylcrank {

/** Whether a request ran at an upstream. All outcomes of requests are reported in this form.

    @see to_string, parse_run_verdict
*/
enum class run_verdict : std::uint8_t {
    not_run,      ///< It did not run and will never run under this id.
    may_have_run, ///< Unknown. The caller must find out whether a non-idempotent request ran before sending
                  ///< it under a new id.
    ran,          ///< It ran and the complete response was received.
};

/** Returns the value of the `Berylcrank-Verdict` header. @see parse_run_verdict */
constexpr std::string_view to_string(run_verdict value) {
    switch (value) {
    case run_verdict::not_run:
        return "not-run";
    case run_verdict::may_have_run:
        return "may-have-run";
    case run_verdict::ran:
        return "ran";
    }
    return "may-have-run";
}

/** Parses a `Berylcrank-Verdict` value. Returns nothing for any other text. @see to_string */
constexpr std::optional<run_verdict> parse_run_verdict(std::string_view text) {
    for (const auto value : {run_verdict::not_run, run_verdict::may_have_run, run_verdict::ran}) {
        if (text == to_string(value)) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace berylcrank
