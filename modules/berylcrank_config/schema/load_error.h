#pragma once

#include <span>
#include <string>
#include <vector>

namespace berylcrank {

/** One error in a settings or ticket file. @see load_errors */
struct load_error {
    std::string file;
    int line{0};         ///< Line number from 1; 0 if the error has no line.
    std::string key;     ///< Path of the key, e.g. "platform.poll_ms" or "upstreams[3].slots".
    std::string value;   ///< Value in the file, truncated; empty if the key is missing.
    std::string message; ///< Describes the error and the allowed values.

    bool operator==(const load_error&) const = default;
};

/** All errors in one file. `load_settings` and `load_ticket` fail with this error object. */
struct load_errors {
    std::vector<load_error> list;
};

/** Formats an error as `file:line: key: value "x": message`. */
std::string to_string(const load_error& error);

/** Formats one line per error. */
std::string to_string(const load_errors& errors);

} // namespace berylcrank
