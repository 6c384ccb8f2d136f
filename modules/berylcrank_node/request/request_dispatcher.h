#pragma once

#include "modules/berylcrank_node/control/status_pages.h"
#include "modules/berylcrank_node/request/idempotent_flow.h"
#include "modules/berylcrank_node/request/measured_exchange.h"
#include "modules/berylcrank_node/request/order_flow.h"
#include "modules/berylcrank_node/request/request_target.h"
#include "modules/berylcrank_node/request/service_table.h"

namespace berylcrank {

/** Receives all requests of callers and passes each to its flow or page.
    @see idempotent_flow, order_flow, status_pages
*/
class request_dispatcher final : public http_handler {
public:
    /** Components that the dispatcher uses; all must outlive it. */
    struct dependencies {
        const clock& time;
        const service_table& services;
        id_minter& minter;
        idempotent_flow& idempotent;
        order_flow& orders;
        const status_pages& pages;
    };

    explicit request_dispatcher(const dependencies& it) : deps_(it) {}

    void handle(std::shared_ptr<http_exchange> it) override;

private:
    void handle_service(const std::shared_ptr<http_exchange>& it, const service_path& target);
    void handle_page(http_exchange& it) const;
    void start_flow(const std::shared_ptr<http_exchange>& it, const service_path& target,
                    const request_options& options);
    void refuse(http_exchange& it, int status, const std::string& reason) const;

    dependencies deps_;
};

} // namespace berylcrank
