#pragma once

#include "modules/berylcrank_http/server/http_server.h"

namespace berylcrank::standins {

/** Blocks SIGTERM and SIGINT in this thread and in all threads started later, and ignores SIGPIPE. Call it
    first in `main`. @see serve */
void block_stop_signals();

/** Runs a server until SIGTERM or SIGINT, then waits up to 10 s for requests in flight. Prints
    `listening http=ADDRESS:PORT`. Returns the exit code. @see block_stop_signals */
int serve(const http_server::options& it, http_handler& handler);

} // namespace berylcrank::standins
