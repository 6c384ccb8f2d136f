#include "modules/berylcrank_node/request/request_dispatcher.h"

#include "modules/berylcrank_node/request/order_headers.h"
#include "modules/berylcrank_node/request/order_responder.h"

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
    const auto service = deps_.services.find(target.service);
    if (service == nullptr) {
        refuse(*it, status_not_found,
               absl::StrCat("service ", std::string(target.service), " does not exist"));
        return;
    }
    const auto config = service->get_config();
    const auto options = parse_request_options(it->request(), *config);
    const auto measured = std::make_shared<measured_exchange>(
        measured_exchange::options{.inner = it,
                                   .metrics = service->metrics,
                                   .time = deps_.time,
                                   .latency_objective = config->latency_objective,
                                   .is_download = options.request_class == request_class::download,
                                   .in_domain_change = service->is_in_domain_change(deps_.time.now())});
    if (!options.error.empty()) {
        refuse(*measured, status_bad_request, options.error);
        return;
    }
    start_flow(measured, target, options);
}

void request_dispatcher::start_flow(const std::shared_ptr<http_exchange>& it, const service_path& target,
                                    const request_options& options) {
    if (options.is_idempotent) {
        deps_.idempotent.run({.exchange = it,
                              .service = std::string(target.service),
                              .request_class = options.request_class,
                              .path = std::string(target.rest),
                              .timeout = options.timeout});
        return;
    }
    deps_.orders.handle(it, {.service = std::string(target.service),
                             .path = std::string(target.rest),
                             .timeout = options.timeout});
}

void request_dispatcher::handle_page(http_exchange& it) const {
    const auto& request = it.request();
    if (request.method != "GET" && request.method != "HEAD") {
        refuse(it, status_bad_method, "only GET and HEAD are allowed here");
        return;
    }
    if (auto page = deps_.pages.find(request)) {
        it.respond(std::move(*page));
        return;
    }
    refuse(it, status_not_found, "no such page");
}

void request_dispatcher::refuse(http_exchange& it, int status, const std::string& reason) const {
    http_response response{.head = {.status = status, .headers = {{"Content-Type", "text/plain"}}},
                           .body = reason + "\n"};
    // Another copy of an order may have run, e.g. before its service was removed.
    add_verdict(response.head.headers, deps_.orders.refusal_verdict(it.request()),
                fresh_prefix(deps_.minter, deps_.time));
    it.respond(std::move(response));
}

} // namespace berylcrank
