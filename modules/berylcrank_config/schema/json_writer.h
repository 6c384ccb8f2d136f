#pragma once

#include <capnp/dynamic.h>
#include <nlohmann/json.hpp>

namespace berylcrank {

/** Writes a struct as JSON with the keys that `load_struct` reads, in schema order. Absent texts, structs and
   empty lists are left out. @see load_struct */
nlohmann::ordered_json to_json(capnp::DynamicStruct::Reader it);

/** JSON text; bytes that are not UTF-8 are replaced. */
std::string to_text(const nlohmann::ordered_json& it, int indent = -1);

} // namespace berylcrank
