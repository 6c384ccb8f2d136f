#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_node/request/attempt_router.h"
#include "modules/berylcrank_node/request/dispatch_lease.h"
#include "modules/berylcrank_node/request/load_header.h"
#include "modules/berylcrank_node/request/permit_source.h"
#include "modules/berylcrank_node/request/service_table.h"
#include "modules/berylcrank_routing/cold/cold_gate.h"

#include <memory>

namespace berylcrank {

/** Components that all routed targets of a node share; they must outlive the targets. @see routed_target */
struct routing_dependencies {
    const clock& time;
    cold_gate& gate;
    permit_source& permits;
    const dispatch_lease& lease;
};

/** An upstream granted by a `service_router`, admitted by the `cold_gate`.

    @see node_router
*/
class routed_target final : public attempt_target {
public:
    routed_target(const routing_dependencies& deps, std::shared_ptr<service_entry> service, route_grant grant,
                  cold_attempt cold);

    /** Releases the upstream if `finish` was not called. */
    ~routed_target() override;
    routed_target(const routed_target&) = delete;
    routed_target& operator=(const routed_target&) = delete;

    [[nodiscard]] const std::string& upstream() const override { return grant_.upstream->name; }
    [[nodiscard]] const std::string& address() const override { return grant_.upstream->address; }
    [[nodiscard]] std::optional<millis> run_limit() const override;
    bool may_send(const connection_info& it) override;
    void report_load(std::string_view header) override;
    void finish(const attempt_result& it) override;

private:
    void release(attempt_outcome outcome, cold_outcome end);
    void update_gate();

    routing_dependencies deps_;
    std::shared_ptr<service_entry> service_;
    route_grant grant_;
    cold_attempt cold_;
    bool is_released_{false};
};

} // namespace berylcrank
