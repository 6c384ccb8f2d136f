#pragma once

#include "modules/berylcrank_http/server/http_server.h"

namespace berylcrank::standins {

/** Blocks SIGTERM and SIGINT for all threads started later. Call first in `main`. @see serve */
void block_stop_signals();

/** Serves until SIGTERM or SIGINT, then lets requests in flight finish for up to 10 s. Prints
    `listening http=ADDRESS:PORT`. Returns the exit code. @see block_stop_signals */
int serve(const http_server::options& it, http_handler& handler);

} // namespace berylcrank::standins
