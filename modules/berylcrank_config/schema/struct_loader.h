#pragma once

#include "modules/berylcrank_config/schema/load_error.h"

#include <capnp/dynamic.h>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Maps YAML or JSON text onto a Cap'n Proto struct, guided by the annotations of its schema.

    Keys are the snake_case form of the field names. Unknown, duplicate, missing, wrong and out-of-range keys
    are all reported, each with its line; the rest of the text is still read. `file` is used in messages only.
    @see field_rules
*/
std::vector<load_error> load_struct(std::string_view text, std::string_view file,
                                    capnp::DynamicStruct::Builder out);

/** Checks a struct that came from elsewhere, e.g. a log record, against the same rules. Messages have no
   line.
    @see load_struct
*/
std::vector<load_error> check_struct(capnp::DynamicStruct::Reader it);

} // namespace berylcrank
