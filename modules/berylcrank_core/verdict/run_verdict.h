#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace berylcrank {

/** Whether a request may have run at an upstream. The only way in which a request's outcome is reported.

    @see to_string, parse_run_verdict
*/
enum class run_verdict : std::uint8_t {
    not_run,      ///< It did not run and, under this id, never will.
    may_have_run, ///< Unknown; a non-idempotent request must not be sent again under a new id without
                  ///< checking.
    ran,          ///< It ran and a whole answer was received.
};

/** The value of the `Berylcrank-Verdict` header. @see parse_run_verdict */
constexpr std::string_view to_string(run_verdict it) {
    switch (it) {
    case run_verdict::not_run:
        return "not-run";
    case run_verdict::may_have_run:
        return "may-have-run";
    case run_verdict::ran:
        return "ran";
    }
    return "may-have-run";
}

/** Reads a `Berylcrank-Verdict` value; nothing for any other text. @see to_string */
constexpr std::optional<run_verdict> parse_run_verdict(std::string_view text) {
    for (const auto it : {run_verdict::not_run, run_verdict::may_have_run, run_verdict::ran}) {
        if (text == to_string(it)) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace berylcrank
