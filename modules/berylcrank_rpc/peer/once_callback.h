#pragma once

#include "modules/berylcrank_rpc/peer/peer_client.h"

#include <utility>

namespace berylcrank {

/** Calls back exactly once: with the first result, or as `silent` when it is destroyed without one.

    Used by one thread at a time.
*/
template <typename Answer>
class once_callback {
public:
    explicit once_callback(peer_client::response_callback<Answer> done) : done_(std::move(done)) {}
    ~once_callback() { finish(peer_failure::no_response, {}); }
    once_callback(const once_callback&) = delete;
    once_callback& operator=(const once_callback&) = delete;

    void finish(peer_failure failure, Answer answer) {
        if (auto done = std::exchange(done_, nullptr)) {
            done(failure, std::move(answer));
        }
    }

private:
    peer_client::response_callback<Answer> done_;
};

} // namespace berylcrank
