#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace berylcrank::standins {

/** Parses arguments of the form `--some-name value` into a JSON object `{"some_name": value}`. A value that
    is not JSON becomes a JSON string. Throws `std::invalid_argument` if the arguments have another form. */
nlohmann::json read_arguments(int argc, char** argv);

/** Removes the field `name` from `arguments` and returns its value, or `default_value` if it is missing. */
template <typename T>
T take_argument(nlohmann::json& arguments, const std::string& name, T default_value) {
    auto value = arguments.value(name, std::move(default_value));
    arguments.erase(name);
    return value;
}

} // namespace berylcrank::standins
