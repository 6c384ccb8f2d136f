#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace berylcrank::standins {

/** Reads arguments of the form `--some-name value` into a JSON object `{"some_name": value}`. A value that is
    not JSON becomes a text. Throws `std::invalid_argument` for anything else. */
nlohmann::json read_arguments(int argc, char** argv);

/** Takes the field `name` out of `arguments`, or gives `otherwise` if there is none. */
template <typename T>
T take_argument(nlohmann::json& arguments, const std::string& name, T otherwise) {
    auto it = arguments.value(name, std::move(otherwise));
    arguments.erase(name);
    return it;
}

} // namespace berylcrank::standins
