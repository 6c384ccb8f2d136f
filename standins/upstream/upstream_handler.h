#pragma once

#include "modules/berylcrank_http/server/http_exchange.h"
#include "standins/upstream/worker.h"

namespace berylcrank::standins {

/** Handles requests, load probes and the control interface of an upstream stand-in.

    - `GET /load`: a load probe.
    - `GET /control`, `POST /control`: reads or changes the settings. `{"cool": true}` makes the worker cold
      again, `{"restart": true}` also gives it a new incarnation.
    - `GET /executions`: counters and, as `by_id`, executions per `Idempotency-Key` or request id. `?key=K`
      returns the executions of one key, `?brief` only the counters.
    - `GET .../blob/<size>/<seed>`: a download.
    - Any other request runs as work. The response echoes the request body, or describes the request if it has
      no body. `?bytes=N` requests a response body of that size.

    Values of the setting `fault`: `wrong_id`, `missing_id`, `close` (closes the connection after the request
    ran), `hang` (never responds), `truncated`, `truncated_chunked`, `stalled` (stops in the middle of the
    response), and for downloads `cut` and `stall` after `fault_bytes`.
*/
class upstream_handler final : public http_handler {
public:
    upstream_handler(worker& it, std::string name) : worker_(it), name_(std::move(name)) {}

    void handle(std::shared_ptr<http_exchange> it) override;

private:
    using exchange_ptr = std::shared_ptr<http_exchange>;

    void handle_probe(const exchange_ptr& it);
    void handle_control(const exchange_ptr& it);
    void handle_executions(const exchange_ptr& it);
    void handle_work(const exchange_ptr& it);
    void respond_to_work(const exchange_ptr& it, job_outcome outcome);
    void respond_failure(const exchange_ptr& it, job_outcome outcome);
    void respond_blob(const exchange_ptr& it, std::string_view fault);
    void respond_truncated(const exchange_ptr& it, const std::string& body, std::string_view fault);
    std::string response_body(const http_request& it);
    std::vector<http_header> common_headers(const http_request& it, std::string_view fault);

    worker& worker_;
    std::string name_;
};

} // namespace berylcrank::standins
