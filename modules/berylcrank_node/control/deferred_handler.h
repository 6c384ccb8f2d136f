#pragma once

#include "modules/berylcrank_core/verdict/run_verdict.h"
#include "modules/berylcrank_http/server/http_exchange.h"

#include <atomic>
#include <string>

namespace berylcrank {

/** Refuses requests until `start` sets the handler that processes them.
    @see http_handler
*/
class deferred_handler final : public http_handler {
public:
    /** Forwards all further requests to `it`, which must outlive the server. */
    void start(http_handler& it) { handler_.store(&it); }

    void handle(std::shared_ptr<http_exchange> it) override {
        if (auto* handler = handler_.load()) {
            handler->handle(std::move(it));
            return;
        }
        constexpr int status_unavailable = 503;
        // An id may come from an earlier incarnation of this node, which may have run the request.
        const bool has_id = count_headers(it->request().headers, "Idempotency-Key") > 0;
        const std::string verdict(to_string(has_id ? run_verdict::may_have_run : run_verdict::not_run));
        it->respond({.head = {.status = status_unavailable, .headers = {{"Berylcrank-Verdict", verdict}}},
                     .body = "this node is starting\n"});
    }

private:
    std::atomic<http_handler*> handler_{nullptr};
};

} // namespace berylcrank
