#pragma once

#include "modules/berylcrank_config/schema/field_constraints.h"

#include <capnp/dynamic.h>
#include <yaml-cpp/node/node.h>

namespace berylcrank {

/** Sets a field from a YAML scalar.

    A quoted scalar is always a text and is not accepted for a number or a bool.
    @returns false if the scalar does not fit the type or violates the constraints; `out` is then unchanged.
*/
bool set_scalar(const YAML::Node& node, capnp::StructSchema::Field field,
                const field_constraints& constraints, capnp::DynamicStruct::Builder out);

} // namespace berylcrank
