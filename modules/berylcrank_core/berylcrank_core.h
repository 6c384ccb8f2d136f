#pragma once

/** @file
    Module berylcrank_core: types that every other module uses.

    Areas: time (clock types), random (random source), sync (annotated mutex), verdict (whether a request may
    have run), identity (incarnations and request ids).

    Dependencies: the C++ standard library, Abseil (thread annotations), xxhash. Does no network or file I/O.
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
