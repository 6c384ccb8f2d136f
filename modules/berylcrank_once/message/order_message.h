#pragma once

#include "modules/berylcrank_core/time/millis.h"
#include "modules/berylcrank_core/verdict/run_verdict.h"

#include <string>
#include <utility>
#include <vector>

namespace berylcrank {

/** One header of a relayed request or answer. @see order_request */
using order_header = std::pair<std::string, std::string>;

/** A non-idempotent request that a node relays to the home of its id. Mirrors `OrderRequest` in
    schema/peer.capnp. @see order_response */
struct order_request {
    std::string id; ///< Text of the request id.
    std::string service;
    std::string method;
    std::string path;
    std::vector<order_header> headers;
    std::string body;
    millis timeout; ///< What is left of the caller's deadline.

    bool operator==(const order_request&) const = default;
};

/** The answer to an order, as recorded at its home. Mirrors `OrderAnswer` in schema/peer.capnp. */
struct order_response {
    run_verdict verdict{run_verdict::may_have_run};
    int status{503};
    std::vector<order_header> headers;
    std::string body;
    std::string reason;    ///< Why there is no upstream answer; empty with one.
    std::string id_prefix; ///< A fresh prefix for the caller's next id.

    bool operator==(const order_response&) const = default;
};

/** The answer for a resend of an order whose recorded body was not kept: the same verdict, status 410, and a
    reason that names the original status. */
order_response without_body(const order_response& it);

} // namespace berylcrank
