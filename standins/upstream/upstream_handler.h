#pragma once

#include "modules/berylcrank_http/server/http_exchange.h"
#include "standins/upstream/worker.h"

namespace berylcrank::standins {

/** Serves the work, the load report and the test control of a stand-in upstream.

    - `GET /load`: a probe.
    - `GET /control`, `POST /control`: settings; `{"cool": true}` and `{"restart": true}` make it cold again.
    - `GET /executions`: counters and, as `by_id`, executions per `Idempotency-Key` or request id; `?key=K`
      for one of them, `?brief` for counters only.
    - `GET .../blob/<size>/<seed>`: a download.
    - anything else is work: its answer echoes the body, or describes the request if there is none. `?bytes=N`
      gives an answer of that size.

    Values of the setting `fault`: `wrong_id`, `missing_id`, `close` (no answer after the request ran), `hang`
    (no answer at all), `truncated`, `truncated_chunked`, `stalled` (the answer stops half way), and for
    downloads `cut` and `stall` after `fault_bytes`.
*/
class upstream_handler final : public http_handler {
public:
    upstream_handler(worker& it, std::string name) : worker_(it), name_(std::move(name)) {}

    void handle(std::shared_ptr<http_exchange> it) override;

private:
    using exchange_ptr = std::shared_ptr<http_exchange>;

    void answer_probe(const exchange_ptr& it);
    void answer_control(const exchange_ptr& it);
    void answer_executions(const exchange_ptr& it);
    void work(const exchange_ptr& it);
    void answer_work(const exchange_ptr& it, job_end end);
    void answer_refusal(const exchange_ptr& it, job_end end);
    void answer_blob(const exchange_ptr& it, std::string_view fault);
    void answer_broken(const exchange_ptr& it, const std::string& body, std::string_view fault);
    std::string body_of(const http_request& it);
    std::vector<http_header> common_headers(const http_request& it, std::string_view fault);

    worker& worker_;
    std::string name_;
};

} // namespace berylcrank::standins
