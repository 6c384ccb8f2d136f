#pragma once

/** @file
    Module berylcrank_http: HTTP/1.1 server (libmicrohttpd) and client (libcurl) with bounded buffering of
    streamed bodies.

    Areas: message (requests, responses, body buffer), loop (event loops shared by server and client), server,
    client.

    Dependencies: berylcrank_core, libmicrohttpd, libcurl, Boost.LEAF, Abseil, glog.
*/

#include "modules/berylcrank_http/client/upstream_client.h"
#include "modules/berylcrank_http/loop/event_loop.h"
#include "modules/berylcrank_http/message/body_buffer.h"
#include "modules/berylcrank_http/message/http_message.h"
#include "modules/berylcrank_http/server/http_exchange.h"
#include "modules/berylcrank_http/server/http_server.h"
