#pragma once

/** @file
    Module berylcrank_http: HTTP towards callers (libmicrohttpd) and upstreams (libcurl), with bounded
   streaming.

    Areas: message (requests, answers, body buffer), loop (threads that both sides share), server, client.

    Dependencies: berylcrank_core, libmicrohttpd, libcurl, Boost.LEAF, Abseil, glog.
*/

#include "modules/berylcrank_http/client/upstream_client.h"
#include "modules/berylcrank_http/loop/event_loop.h"
#include "modules/berylcrank_http/message/body_buffer.h"
#include "modules/berylcrank_http/message/http_message.h"
#include "modules/berylcrank_http/server/http_exchange.h"
#include "modules/berylcrank_http/server/http_server.h"
