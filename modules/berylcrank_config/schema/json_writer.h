#pragma once

#include <capnp/dynamic.h>
#include <nlohmann/json.hpp>

namespace berylcrank {

/** Converts a struct to JSON with the keys that `load_struct` reads, in schema order. Omits unset texts,
    unset structs and empty lists.
    @see load_struct
*/
nlohmann::ordered_json to_json(capnp::DynamicStruct::Reader message);

/** Serializes JSON to text. Replaces bytes that are not valid UTF-8 with U+FFFD.
    @param indent Spaces per level; -1 writes a single line.
*/
std::string to_text(const nlohmann::ordered_json& json, int indent = -1);

} // namespace berylcrank
