#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_http/server/http_exchange.h"
#include "modules/berylcrank_node/metrics/service_metrics.h"

#include <memory>

namespace berylcrank {

/** Wraps an exchange and counts its outcome in the metrics and the burn report of its service.
    @see service_metrics
*/
class measured_exchange final : public http_exchange {
public:
    struct options {
        std::shared_ptr<http_exchange> inner;
        service_metrics& metrics;
        const clock& time;
        millis latency_objective;     ///< Latency objective of the service; a later response counts as slow.
        bool is_download{false};      ///< Downloads have no latency objective.
        bool in_domain_change{false}; ///< A failure domain of the service is out of use or returned recently.
    };

    explicit measured_exchange(options it);

    [[nodiscard]] const http_request& request() const override { return options_.inner->request(); }
    void respond(http_response it) override;
    std::shared_ptr<body_buffer> start_response(http_response_head head,
                                                std::optional<std::uint64_t> content_bytes) override;
    void abort() override;
    void set_on_disconnect(std::function<void()> it) override;

private:
    struct outcome;

    options options_;
    std::shared_ptr<outcome> outcome_;
};

} // namespace berylcrank
