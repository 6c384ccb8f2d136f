#pragma once

#include "modules/berylcrank_core/verdict/run_verdict.h"
#include "modules/berylcrank_http/server/http_exchange.h"

#include <atomic>
#include <string>

namespace berylcrank {

/** Stands in for a handler that does not exist yet: refuses requests until `start`.

    @see http_handler
*/
class late_handler final : public http_handler {
public:
    /** Passes all further requests on to `it`, which must outlive the server. */
    void start(http_handler& it) { handler_.store(&it); }

    void handle(std::shared_ptr<http_exchange> it) override {
        if (auto* handler = handler_.load()) {
            handler->handle(std::move(it));
            return;
        }
        constexpr int status_unavailable = 503;
        // An id may be one of an earlier run of this node, which may have run it.
        const bool has_id = count_headers(it->request().headers, "Idempotency-Key") > 0;
        const std::string verdict(to_string(has_id ? run_verdict::may_have_run : run_verdict::not_run));
        it->respond({.head = {.status = status_unavailable, .headers = {{"Berylcrank-Verdict", verdict}}},
                     .body = "this node is starting\n"});
    }

private:
    std::atomic<http_handler*> handler_{nullptr};
};

} // namespace berylcrank
