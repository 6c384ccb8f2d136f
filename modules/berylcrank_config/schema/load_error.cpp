#include "modules/berylcrank_config/schema/load_error.h"

namespace berylcrank {

std::string to_string(const load_error& error) {
    std::string out = error.file;
    if (error.line > 0) {
        out += ":" + std::to_string(error.line);
    }
    out += ": ";
    if (!error.key.empty()) {
        out += error.key + ": ";
    }
    if (!error.value.empty()) {
        out += "value \"" + error.value + "\": ";
    }
    return out + error.message;
}

std::string to_string(const load_errors& errors) {
    std::string out;
    for (const auto& error : errors.list) {
        out += to_string(error) + "\n";
    }
    return out;
}

} // namespace berylcrank
