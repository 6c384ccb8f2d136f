#pragma once

/** @file
    Module berylcrank_config: settings, tickets and the configuration state machine.

    Areas: schema (loads YAML and JSON into Cap'n Proto structs), settings, ticket, state (log records, ticket
    validation, snapshots, views, freshness).

    Dependencies: berylcrank_core, the generated schemas, Cap'n Proto, yaml-cpp, nlohmann-json, Abseil,
    xxhash, Boost.LEAF. Reads settings and ticket files and does no other I/O.
*/

#include "modules/berylcrank_config/schema/load_error.h"
#include "modules/berylcrank_config/settings/settings.h"
#include "modules/berylcrank_config/state/config_state.h"
#include "modules/berylcrank_config/state/config_view.h"
#include "modules/berylcrank_config/state/freshness.h"
#include "modules/berylcrank_config/state/record_codec.h"
#include "modules/berylcrank_config/state/state_codec.h"
#include "modules/berylcrank_config/ticket/objects.h"
#include "modules/berylcrank_config/ticket/ticket.h"
