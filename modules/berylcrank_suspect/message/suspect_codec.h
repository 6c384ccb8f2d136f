#pragma once

#include "modules/berylcrank_suspect/table/suspect_table.h"

#include <suspect.capnp.h>

namespace berylcrank {

/** Writes a report into a message. `now` converts instants to ages, since nodes do not share a clock. */
void encode(const suspect_report& it, instant now, schema::Suspect::Builder to);

/** Reads a report from a message. `now` converts ages to instants. Reads at most 64 losses. */
suspect_report decode(schema::Suspect::Reader it, instant now);

} // namespace berylcrank
