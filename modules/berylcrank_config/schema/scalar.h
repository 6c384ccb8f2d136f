#pragma once

#include "modules/berylcrank_config/schema/field_rules.h"

#include <capnp/dynamic.h>
#include <yaml-cpp/node/node.h>

namespace berylcrank {

/** Sets a field from a scalar node; false if the text does not fit the type or breaks the rules.

    Quoted scalars are texts: they fit no number and no bool.
*/
bool set_scalar(const YAML::Node& node, capnp::StructSchema::Field field, const field_rules& rules,
                capnp::DynamicStruct::Builder out);

} // namespace berylcrank
