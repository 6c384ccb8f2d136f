#pragma once

#include "modules/berylcrank_rpc/peer/peer_client.h"

#include <utility>

namespace berylcrank {

/** Calls back exactly once: with the first result, or as `silent` when it is destroyed without one.

    Used by one thread at a time.
*/
template <typename Answer>
class answer_once {
public:
    explicit answer_once(peer_client::response_callback<Answer> done) : done_(std::move(done)) {}
    ~answer_once() { finish(peer_failure::no_response, {}); }
    answer_once(const answer_once&) = delete;
    answer_once& operator=(const answer_once&) = delete;

    void finish(peer_failure failure, Answer answer) {
        if (auto done = std::exchange(done_, nullptr)) {
            done(failure, std::move(answer));
        }
    }

private:
    peer_client::response_callback<Answer> done_;
};

} // namespace berylcrank
