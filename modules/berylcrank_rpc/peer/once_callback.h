#pragma once

#include "modules/berylcrank_rpc/peer/peer_client.h"

#include <utility>

namespace berylcrank {

/** Wraps a callback so that it runs exactly once: with the first result, or with `peer_failure::no_response`
    when this object is destroyed without a result.

    Not thread-safe.
    @see peer_connections
*/
template <typename Response>
class once_callback {
public:
    explicit once_callback(peer_client::response_callback<Response> done) : done_(std::move(done)) {}
    ~once_callback() { call(peer_failure::no_response, {}); }
    once_callback(const once_callback&) = delete;
    once_callback& operator=(const once_callback&) = delete;

    void call(peer_failure failure, Response response) {
        if (auto done = std::exchange(done_, nullptr)) {
            done(failure, std::move(response));
        }
    }

private:
    peer_client::response_callback<Response> done_;
};

} // namespace berylcrank
