#pragma once

/** @file
    Module berylcrank_once: at-most-once execution of non-idempotent requests at the home of their ids, with a
   truthful "not run".

    Areas: message (orders and answers as nodes exchange them), table (what the home remembers of each id).

    Dependencies: berylcrank_core, Abseil, xxhash. Does no I/O; time is an argument.
*/

#include "modules/berylcrank_once/message/order_message.h"
#include "modules/berylcrank_once/table/content_digest.h"
#include "modules/berylcrank_once/table/order_table.h"
