#pragma once

/** @file
    Module berylcrank_suspect: recognizes requests that crash the upstreams that run them.

    Areas: table (suspects of a node and what nodes tell each other about them), message (their encoding).

    Dependencies: berylcrank_core, Abseil, xxhash, Cap'n Proto. Does no I/O; time is passed in. Thread-safe.
*/

#include "modules/berylcrank_suspect/message/suspect_codec.h"
#include "modules/berylcrank_suspect/table/request_fingerprint.h"
#include "modules/berylcrank_suspect/table/request_suspicion.h"
#include "modules/berylcrank_suspect/table/suspect_table.h"
