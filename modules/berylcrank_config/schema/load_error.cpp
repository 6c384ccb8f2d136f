#include "modules/berylcrank_config/schema/load_error.h"

namespace berylcrank {

std::string to_string(const load_error& it) {
    std::string out = it.file;
    if (it.line > 0) {
        out += ":" + std::to_string(it.line);
    }
    out += ": ";
    if (!it.key.empty()) {
        out += it.key + ": ";
    }
    if (!it.value.empty()) {
        out += "value \"" + it.value + "\": ";
    }
    return out + it.message;
}

std::string to_string(const load_errors& it) {
    std::string out;
    for (const auto& fault : it.list) {
        out += to_string(fault) + "\n";
    }
    return out;
}

} // namespace berylcrank
