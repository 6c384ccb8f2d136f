#include "modules/berylcrank_node/request/node_router.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace berylcrank {

namespace {

constexpr int status_unavailable = 503;
constexpr int status_not_found = 404;

// Time to wait for a permit of one upstream before another one is tried: about ten round trips of a permit
// call.
constexpr millis max_permit_wait{100};

// A request without a deadline is refused if it gets no permit within this time.
constexpr millis max_permit_search{2000};

// Pause before the upstreams of a service are tried again.
constexpr millis search_pause{20};

} // namespace

/** State of one attempt until it has an upstream. */
struct node_router::search {
    attempt_request request;
    target_callback found;
    refusal_callback refused;
    std::shared_ptr<service_entry> service;
    std::vector<std::string> upstreams_without_permit;
    int failed_permits{0};
    instant search_deadline;
};

void node_router::route(attempt_request it, target_callback found, refusal_callback refused) {
    auto service = services_.find(it.service);
    if (service == nullptr) {
        refused({.status = status_not_found,
                 .reason = absl::StrCat("service ", it.service, " does not exist"),
                 .is_retry_useful = false});
        return;
    }
    if (!deps_.lease.is_valid(deps_.time.now())) {
        refused({.status = status_unavailable, .reason = "this node is cut off from the log and most nodes"});
        return;
    }
    const auto search_deadline = std::min(it.deadline, deps_.time.now() + max_permit_search);
    acquire(std::make_shared<search>(search{.request = std::move(it),
                                            .found = std::move(found),
                                            .refused = std::move(refused),
                                            .service = std::move(service),
                                            .search_deadline = search_deadline}));
}

void node_router::tick() {
    std::vector<std::shared_ptr<search>> due;
    {
        const lock_guard hold(mutex_);
        const auto now = deps_.time.now();
        std::erase_if(paused_, [&](const auto& it) {
            if (it.first > now) {
                return false;
            }
            due.push_back(it.second);
            return true;
        });
    }
    for (const auto& it : due) {
        acquire(it);
    }
}

void node_router::acquire(const std::shared_ptr<search>& it) {
    route_request request{.request_class = it->request.request_class,
                          .deadline = it->request.deadline,
                          .kind = it->request.is_retry ? attempt_kind::retry : attempt_kind::first,
                          .excluded = it->request.excluded};
    request.excluded.insert(request.excluded.end(), it->upstreams_without_permit.begin(),
                            it->upstreams_without_permit.end());
    it->service->router.acquire(
        std::move(request),
        [this, it](const route_result& result) {
            if (const auto* grant = std::get_if<route_grant>(&result)) {
                on_grant(it, *grant);
            } else {
                on_route_refusal(it, std::get<route_refusal>(result));
            }
        },
        deps_.time.now());
}

void node_router::on_grant(const std::shared_ptr<search>& it, const route_grant& grant) {
    cold_attempt cold(grant.upstream->name);
    if (deps_.gate.begin(cold, false)) {
        it->found(std::make_unique<routed_target>(deps_, it->service, grant, std::move(cold)));
        return;
    }
    request_permit(it, grant, std::move(cold));
}

void node_router::on_route_refusal(const std::shared_ptr<search>& it, const route_refusal& refusal) {
    // Upstreams may be excluded only because no permit was free, so they are all tried again.
    const bool is_exhausted =
        refusal.reason == refusal_reason::no_upstream && !it->upstreams_without_permit.empty();
    if (is_exhausted && deps_.time.now() < it->search_deadline) {
        it->upstreams_without_permit.clear();
        const lock_guard hold(mutex_);
        paused_.emplace_back(deps_.time.now() + search_pause, it);
        return;
    }
    it->refused({.status = status_unavailable,
                 .reason = absl::StrCat("service ", it->request.service, ": ",
                                        it->failed_permits == 0 ? std::string(to_string(refusal.reason))
                                                                : "its upstreams are starting"),
                 .is_retry_useful = refusal.is_retry_useful});
}

void node_router::request_permit(const std::shared_ptr<search>& it, const route_grant& grant,
                                 cold_attempt cold) {
    const auto deadline = std::min(it->search_deadline, deps_.time.now() + max_permit_wait);
    const auto shared_cold = std::make_shared<cold_attempt>(std::move(cold));
    deps_.permits.acquire(grant.upstream->name, it->request.request_class, deadline,
                          [this, it, grant, shared_cold](std::optional<cold_permit> permit) {
                              if (permit) {
                                  shared_cold->set_permit(std::move(*permit),
                                                          millis{0}); // The target sets the run limit.
                                  it->found(std::make_unique<routed_target>(deps_, it->service, grant,
                                                                            std::move(*shared_cold)));
                                  return;
                              }
                              deps_.gate.finish(*shared_cold, cold_outcome::not_sent);
                              it->service->router.release(grant, attempt_outcome::unused, deps_.time.now());
                              it->upstreams_without_permit.push_back(grant.upstream->name);
                              ++it->failed_permits;
                              acquire(it);
                          });
}

} // namespace berylcrank
