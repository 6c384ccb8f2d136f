#include "modules/berylcrank_node/request/request_dispatcher.h"

#include "modules/berylcrank_node/request/order_headers.h"
#include "modules/berylcrank_node/request/order_reply.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace berylcrank {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_bad_method = 405;

} // namespace

void request_dispatcher::handle(std::shared_ptr<http_exchange> it) {
    if (const auto target = split_service_path(it->request().path)) {
        handle_service(it, *target);
    } else {
        handle_page(*it);
    }
}

void request_dispatcher::handle_service(const std::shared_ptr<http_exchange>& it,
                                        const service_path& target) {
    const auto service = parts_.services.find(target.service);
    if (service == nullptr) {
        refuse(*it, status_not_found,
               absl::StrCat("service ", std::string(target.service), " does not exist"));
        return;
    }
    const auto config = service->get_config();
    const auto terms = read_request_terms(it->request(), *config);
    const auto measured = std::make_shared<measured_exchange>(
        measured_exchange::options{.inner = it,
                                   .metrics = service->metrics,
                                   .time = parts_.time,
                                   .latency_objective = config->latency_objective,
                                   .is_download = terms.request_class == request_class::download,
                                   .in_domain_change = service->is_in_domain_change(parts_.time.now())});
    if (!terms.fault.empty()) {
        refuse(*measured, status_bad_request, terms.fault);
        return;
    }
    start_flow(measured, target, terms);
}

void request_dispatcher::start_flow(const std::shared_ptr<http_exchange>& it, const service_path& target,
                                    const request_terms& terms) {
    if (terms.is_idempotent) {
        parts_.idempotent.run({.exchange = it,
                               .service = std::string(target.service),
                               .request_class = terms.request_class,
                               .path = std::string(target.rest),
                               .timeout = terms.timeout});
        return;
    }
    parts_.orders.handle(
        it,
        {.service = std::string(target.service), .path = std::string(target.rest), .timeout = terms.timeout});
}

void request_dispatcher::handle_page(http_exchange& it) const {
    const auto& request = it.request();
    if (request.method != "GET" && request.method != "HEAD") {
        refuse(it, status_bad_method, "only GET and HEAD are allowed here");
        return;
    }
    if (auto page = parts_.pages.find(request)) {
        it.respond(std::move(*page));
        return;
    }
    refuse(it, status_not_found, "no such page");
}

void request_dispatcher::refuse(http_exchange& it, int status, const std::string& reason) const {
    http_response answer{.head = {.status = status, .headers = {{"Content-Type", "text/plain"}}},
                         .body = reason + "\n"};
    // Another copy of an order may have run, e.g. before its service was removed.
    add_verdict(answer.head.headers, parts_.orders.refusal_verdict(it.request()),
                fresh_prefix(parts_.minter, parts_.time));
    it.respond(std::move(answer));
}

} // namespace berylcrank
