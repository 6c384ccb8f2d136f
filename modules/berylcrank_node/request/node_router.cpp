#include "modules/berylcrank_node/request/node_router.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace berylcrank {

namespace {

constexpr int status_unavailable = 503;
constexpr int status_not_found = 404;

// Upstreams tried for one attempt when permits are short.
constexpr int most_permit_tries = 3;

// A request with no deadline does not wait longer than this for a permit.
constexpr millis longest_permit_wait{2000};

} // namespace

/** One attempt on its way to an upstream. */
struct node_router::search {
    attempt_request request;
    on_target found;
    on_refusal refused;
    std::shared_ptr<service_entry> service;
    std::vector<std::string> without_permit;
    int permit_tries{0};
};

void node_router::route(attempt_request it, on_target found, on_refusal refused) {
    auto service = services_.find(it.service);
    if (service == nullptr) {
        refused({.status = status_not_found,
                 .reason = absl::StrCat("service ", it.service, " does not exist"),
                 .is_retry_useful = false});
        return;
    }
    if (!parts_.work.is_open(parts_.time.now())) {
        refused({.status = status_unavailable, .reason = "this node is cut off from the log and most nodes"});
        return;
    }
    acquire(
        std::make_shared<search>(std::move(it), std::move(found), std::move(refused), std::move(service)));
}

void node_router::acquire(const std::shared_ptr<search>& it) {
    route_request request{.request_class = it->request.request_class,
                          .deadline = it->request.deadline,
                          .kind = it->request.is_retry ? attempt_kind::retry : attempt_kind::first,
                          .excluded = it->request.excluded};
    request.excluded.insert(request.excluded.end(), it->without_permit.begin(), it->without_permit.end());
    it->service->router.acquire(
        std::move(request),
        [this, it](const route_result& result) {
            if (const auto* grant = std::get_if<route_grant>(&result)) {
                on_grant(it, *grant);
            } else {
                on_refused(it, std::get<route_refusal>(result));
            }
        },
        parts_.time.now());
}

void node_router::on_grant(const std::shared_ptr<search>& it, const route_grant& grant) {
    cold_attempt cold(grant.upstream->name);
    if (parts_.gate.begin(cold, false)) {
        it->found(std::make_unique<routed_target>(parts_, it->service, grant, std::move(cold)));
        return;
    }
    ask_permit(it, grant, std::move(cold));
}

void node_router::on_refused(const std::shared_ptr<search>& it, const route_refusal& refusal) {
    it->refused({.status = status_unavailable,
                 .reason = absl::StrCat("service ", it->request.service, ": ",
                                        it->without_permit.empty() ? std::string(to_string(refusal.reason))
                                                                   : "its upstreams are starting"),
                 .is_retry_useful = refusal.is_retry_useful});
}

void node_router::ask_permit(const std::shared_ptr<search>& it, const route_grant& grant, cold_attempt cold) {
    const auto deadline = std::min(it->request.deadline, parts_.time.now() + longest_permit_wait);
    const auto held = std::make_shared<cold_attempt>(std::move(cold));
    parts_.permits.acquire(
        grant.upstream->name, it->request.request_class, deadline,
        [this, it, grant, held](std::optional<cold_permit> permit) {
            if (permit) {
                held->use(std::move(*permit), millis{0}); // The target sets the run limit.
                it->found(std::make_unique<routed_target>(parts_, it->service, grant, std::move(*held)));
                return;
            }
            parts_.gate.finish(*held, cold_end::not_sent);
            it->service->router.release(grant, attempt_outcome::unused, parts_.time.now());
            it->without_permit.push_back(grant.upstream->name);
            if (++it->permit_tries < most_permit_tries) {
                acquire(it);
            } else {
                on_refused(it, {.reason = refusal_reason::no_upstream, .is_retry_useful = true});
            }
        });
}

} // namespace berylcrank
