#include "modules/berylcrank_node/request/node_router.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace berylcrank {

namespace {

constexpr int status_unavailable = 503;
constexpr int status_not_found = 404;

// Wait for a permit of one upstream before another upstream is tried: about ten times a permit's round trip.
constexpr millis one_permit_wait{100};

// A request without a deadline is refused if it gets no permit within this time.
constexpr millis longest_permit_search{2000};

// Pause before the upstreams of a service are tried once more.
constexpr millis search_pause{20};

} // namespace

/** One attempt on its way to an upstream. */
struct node_router::search {
    attempt_request request;
    on_target found;
    on_refusal refused;
    std::shared_ptr<service_entry> service;
    std::vector<std::string> without_permit;
    int permit_tries{0};
    instant give_up;
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
    const auto give_up = std::min(it.deadline, parts_.time.now() + longest_permit_search);
    acquire(std::make_shared<search>(search{.request = std::move(it),
                                            .found = std::move(found),
                                            .refused = std::move(refused),
                                            .service = std::move(service),
                                            .give_up = give_up}));
}

void node_router::tick() {
    std::vector<std::shared_ptr<search>> due;
    {
        const lock_guard hold(mutex_);
        const auto now = parts_.time.now();
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
    // All others may be excluded only because their permits were short; they get another turn.
    const bool is_exhausted = refusal.reason == refusal_reason::no_upstream && !it->without_permit.empty();
    if (is_exhausted && parts_.time.now() < it->give_up) {
        it->without_permit.clear();
        const lock_guard hold(mutex_);
        paused_.emplace_back(parts_.time.now() + search_pause, it);
        return;
    }
    it->refused({.status = status_unavailable,
                 .reason = absl::StrCat("service ", it->request.service, ": ",
                                        it->permit_tries == 0 ? std::string(to_string(refusal.reason))
                                                              : "its upstreams are starting"),
                 .is_retry_useful = refusal.is_retry_useful});
}

void node_router::ask_permit(const std::shared_ptr<search>& it, const route_grant& grant, cold_attempt cold) {
    const auto deadline = std::min(it->give_up, parts_.time.now() + one_permit_wait);
    const auto held = std::make_shared<cold_attempt>(std::move(cold));
    parts_.permits.acquire(
        grant.upstream->name, it->request.request_class, deadline,
        [this, it, grant, held](std::optional<cold_permit> permit) {
            if (permit) {
                held->set_permit(std::move(*permit), millis{0}); // The target sets the run limit.
                it->found(std::make_unique<routed_target>(parts_, it->service, grant, std::move(*held)));
                return;
            }
            parts_.gate.finish(*held, cold_outcome::not_sent);
            it->service->router.release(grant, attempt_outcome::unused, parts_.time.now());
            it->without_permit.push_back(grant.upstream->name);
            ++it->permit_tries;
            acquire(it);
        });
}

} // namespace berylcrank
