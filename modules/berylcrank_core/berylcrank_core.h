#pragma once

/** @file
    Module berylcrank_core: basic types for all other modules.

    Areas: time (durations, instants and clocks), random (random number source), sync (mutex with
    thread-safety annotations), verdict (whether a request ran, and request classes), identity (incarnations
    and request ids).

    Dependencies: the C++ standard library, Abseil, xxhash. Performs no network or file I/O.
*/

#include "modules/berylcrank_core/identity/id_minter.h"
#include "modules/berylcrank_core/identity/incarnation.h"
#include "modules/berylcrank_core/identity/request_id.h"
#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_core/time/millis.h"
#include "modules/berylcrank_core/verdict/request_class.h"
#include "modules/berylcrank_core/verdict/run_verdict.h"
