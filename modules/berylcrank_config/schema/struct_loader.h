#pragma once

#include "modules/berylcrank_config/schema/load_error.h"

#include <capnp/dynamic.h>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Parses YAML or JSON text into a Cap'n Proto struct and checks it against the annotations of the schema.

    Keys are the field names in snake_case. Reports every unknown, duplicate or missing key and every invalid
    value with its line, and continues with the rest of the text.
    @param file Used only in the returned errors.
    @returns All errors; empty on success.
    @see field_constraints
*/
std::vector<load_error> load_struct(std::string_view text, std::string_view file,
                                    capnp::DynamicStruct::Builder out);

/** Checks a struct that was not parsed from text, e.g. from a log record, against the same constraints. The
    errors have no file and no line.
    @see load_struct
*/
std::vector<load_error> check_struct(capnp::DynamicStruct::Reader message);

} // namespace berylcrank
