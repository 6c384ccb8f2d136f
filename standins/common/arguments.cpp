#include "standins/common/arguments.h"

#include <algorithm>
#include <stdexcept>

namespace berylcrank::standins {

nlohmann::json read_arguments(int argc, char** argv) {
    auto arguments = nlohmann::json::object();
    for (int i = 1; i < argc; i += 2) {
        std::string name = argv[i];
        if (!name.starts_with("--") || i + 1 == argc) {
            throw std::invalid_argument("expected \"--name value\" at \"" + name + "\"");
        }
        name.erase(0, 2);
        std::ranges::replace(name, '-', '_');
        const auto value = nlohmann::json::parse(argv[i + 1], nullptr, false);
        arguments[name] = value.is_discarded() ? nlohmann::json(argv[i + 1]) : value;
    }
    return arguments;
}

} // namespace berylcrank::standins
