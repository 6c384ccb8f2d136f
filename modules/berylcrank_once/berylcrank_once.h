#pragma once

/** @file
    Module berylcrank_once: at-most-once execution of non-idempotent requests.

    A non-idempotent request is called an order. The node process that minted an order's id is the home of
    that id. Only the home runs the order, and only the home may report that it did not run.

    Areas: message (orders and responses exchanged between nodes), table (state of each id at its home).

    Dependencies: berylcrank_core, Abseil, xxhash. Does no I/O; the caller passes the time.
*/

#include "modules/berylcrank_once/message/order_message.h"
#include "modules/berylcrank_once/table/content_digest.h"
#include "modules/berylcrank_once/table/order_table.h"
