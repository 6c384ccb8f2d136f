#pragma once

#include <span>
#include <string>
#include <vector>

namespace berylcrank {

/** One fault of a settings or ticket file. @see load_errors */
struct load_error {
    std::string file;
    int line{0};         ///< From 1; 0 if the fault belongs to no line.
    std::string key;     ///< Path of the key, e.g. "platform.poll_ms" or "upstreams[3].slots".
    std::string value;   ///< What the file holds, shortened; empty if the key is absent.
    std::string message; ///< What is wrong and what is allowed.

    bool operator==(const load_error&) const = default;
};

/** All faults of one file; the error object of `load_settings` and `load_ticket`. */
struct load_errors {
    std::vector<load_error> list;
};

/** `file:line: key: value "x": message`. */
std::string to_string(const load_error& it);

/** One line per fault. */
std::string to_string(const load_errors& it);

} // namespace berylcrank
