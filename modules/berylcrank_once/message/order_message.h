#pragma once

#include "modules/berylcrank_core/time/millis.h"
#include "modules/berylcrank_core/verdict/run_verdict.h"

#include <string>
#include <utility>
#include <vector>

namespace berylcrank {

/** Name and value of a header of a relayed request or response. @see order_request, order_response */
using order_header = std::pair<std::string, std::string>;

/** A non-idempotent request that a node relays to the home of its id.

    Mirrors `OrderRequest` in schema/peer.capnp.
    @see order_response
*/
struct order_request {
    std::string id; ///< Request id in text form. @see parse_request_id
    std::string service;
    std::string method;
    std::string path;
    std::vector<order_header> headers;
    std::string body;
    millis timeout; ///< Time left until the caller's deadline.

    bool operator==(const order_request&) const = default;
};

/** The response to an order, as recorded at its home.

    Mirrors `OrderAnswer` in schema/peer.capnp.
    @see order_request
*/
struct order_response {
    run_verdict verdict{run_verdict::may_have_run};
    int status{503}; ///< HTTP status code.
    std::vector<order_header> headers;
    std::string body;
    std::string reason;    ///< Why there is no upstream response; empty if there is one.
    std::string id_prefix; ///< Newly minted prefix for the caller's next id.

    bool operator==(const order_response&) const = default;
};

/** Returns the response for a retry of an order whose recorded response was discarded: the same verdict,
    status 410, no headers or body, and a reason that states the original status. */
order_response without_body(const order_response& it);

} // namespace berylcrank
