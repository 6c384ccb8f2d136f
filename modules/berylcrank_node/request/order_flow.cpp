#include "modules/berylcrank_node/request/order_flow.h"

#include "modules/berylcrank_node/request/order_headers.h"

#include <algorithm>
#include <vector>

namespace berylcrank {

namespace {

constexpr int http_bad_request = 400;
constexpr int http_gone = 410;
constexpr int http_unprocessable = 422;
constexpr int http_unavailable = 503;

order_response make_response(run_verdict verdict, int status, std::string reason) {
    return {.verdict = verdict, .status = status, .reason = std::move(reason)};
}

constexpr std::string_view id_header = "Idempotency-Key";

std::vector<request_id> parse_ids(std::span<const http_header> headers) {
    std::vector<request_id> out;
    for (const auto& it : headers) {
        if (count_headers({&it, 1}, id_header) == 0) {
            continue;
        }
        if (const auto id = parse_request_id(it.value)) {
            out.push_back(*id);
        }
    }
    return out;
}

/** The response for a copy that neither runs nor waits. */
order_response response_for(order_admission it) {
    switch (it) {
    case order_admission::full:
        return make_response(run_verdict::not_run, http_unavailable,
                             "no room to remember the order; use the new prefix");
    case order_admission::expired:
        return make_response(run_verdict::may_have_run, http_gone, "the id has expired");
    case order_admission::mismatch:
        return make_response(run_verdict::may_have_run, http_unprocessable,
                             "the id was used with other content");
    default:
        return make_response(run_verdict::may_have_run, http_unavailable, "the order is running");
    }
}

} // namespace

void order_flow::handle(const std::shared_ptr<http_exchange>& it, const order_context& call) {
    ++counters_.received;
    const auto& request = it->request();
    auto responder = std::make_shared<http_order_responder>(it, deps_.minter, deps_.time);
    const auto ids = parse_ids(request.headers);
    if (ids.size() != 1 || count_headers(request.headers, id_header) != 1) {
        refuse_invalid(request, *responder);
        return;
    }
    const auto& id = ids.front();
    order_request order{.id = to_string(id),
                        .service = call.service,
                        .method = request.method,
                        .path = call.path,
                        .headers = order_request_headers(request),
                        .body = request.body,
                        .timeout = call.timeout};
    if (id.home == deps_.minter.self()) {
        run_here(std::move(order), id, std::move(responder));
    } else {
        relay(std::move(order), id, std::move(responder));
    }
}

run_verdict order_flow::refusal_verdict(const http_request& it) const {
    const bool is_known_not_run = std::ranges::all_of(parse_ids(it.headers), [this](const request_id& id) {
        return id.home == deps_.minter.self() && !deps_.minter.is_genuine(id);
    });
    return is_known_not_run ? run_verdict::not_run : run_verdict::may_have_run;
}

void order_flow::refuse_invalid(const http_request& it, order_responder& responder) {
    ++counters_.invalid;
    const auto headers = count_headers(it.headers, id_header);
    responder.send(make_response(refusal_verdict(it), http_bad_request,
                                 headers == 0   ? "Idempotency-Key is missing"
                                 : headers == 1 ? "Idempotency-Key is not of the form <prefix>.<number>"
                                                : "Idempotency-Key is repeated"));
}

void order_flow::handle_relayed(order_request it, std::function<void(order_response)> respond) {
    ++counters_.relayed_in;
    auto responder = std::make_shared<relay_order_responder>(std::move(respond), deps_.minter, deps_.time);
    const auto id = parse_request_id(it.id);
    if (!id.has_value() || id->home != deps_.minter.self()) {
        // An order is relayed only once. This incarnation has no record of the id and must not respond "not
        // run".
        responder->send(make_response(run_verdict::may_have_run, http_unavailable,
                                      "this node is not the home of the id"));
        return;
    }
    run_here(std::move(it), *id, std::move(responder));
}

void order_flow::run_here(order_request it, const request_id& id,
                          std::shared_ptr<order_responder> responder) {
    if (!deps_.minter.is_genuine(id)) {
        ++counters_.invalid;
        responder->send(make_response(run_verdict::not_run, http_bad_request,
                                      "Idempotency-Key was not handed out by this node"));
        return;
    }
    const auto digest = digest_of(it);
    const auto now = deps_.time.now();
    const auto deadline = now + it.timeout;
    const auto result =
        deps_.table.admit(id, digest, deadline, now,
                          [responder](const shared_response& response) { responder->send(*response); });
    switch (result.admission) {
    case order_admission::run:
        ++counters_.run_here;
        std::make_shared<order_execution>(deps_, shared_, std::move(it), id, deadline, std::move(responder))
            ->route();
        return;
    case order_admission::waiting:
        return;
    case order_admission::recorded:
        responder->send(*result.response);
        return;
    default:
        responder->send(response_for(result.admission));
    }
}

void order_flow::relay(order_request it, const request_id& id, std::shared_ptr<order_responder> responder) {
    const auto address = home_resolver_.find(id.home);
    if (!address.has_value()) {
        ++counters_.home_unknown;
        responder->send(
            make_response(run_verdict::may_have_run, http_unavailable, "the home of the id is not known"));
        return;
    }
    ++counters_.relayed_out;
    const auto timeout = it.timeout;
    it.timeout = timeout - options_.relay_margin;
    peers_.relay_order(
        *address, std::move(it), timeout,
        [this, responder = std::move(responder)](peer_failure failure, const order_response& response) {
            on_relayed(failure, response, *responder);
        });
}

void order_flow::on_relayed(peer_failure failure, const order_response& response,
                            order_responder& responder) {
    if (failure == peer_failure::none) {
        responder.send(response);
        return;
    }
    const bool is_refused = failure == peer_failure::refused;
    ++(is_refused ? counters_.home_refused : counters_.home_silent);
    responder.send(
        make_response(run_verdict::may_have_run, http_unavailable,
                      is_refused ? "the home of the id has ended" : "the home of the id does not answer"));
}

} // namespace berylcrank
