#include "modules/berylcrank_node/request/order_flow.h"

#include "modules/berylcrank_node/request/order_headers.h"

namespace berylcrank {

namespace {

constexpr int http_bad_request = 400;
constexpr int http_gone = 410;
constexpr int http_unprocessable = 422;
constexpr int http_unavailable = 503;

order_answer plain(run_verdict verdict, int status, std::string reason) {
    return {.verdict = verdict, .status = status, .reason = std::move(reason)};
}

order_answer invalid(std::string reason) {
    return plain(run_verdict::not_run, http_bad_request, std::move(reason));
}

/** What is wrong with the ids of a request; empty if there is exactly one well-formed id, which goes to
 * `out`. */
std::string read_id(std::span<const http_header> headers, std::optional<request_id>& out) {
    constexpr std::string_view name = "Idempotency-Key";
    switch (count_headers(headers, name)) {
    case 0:
        return "Idempotency-Key is missing";
    case 1:
        out = parse_request_id(*find_header(headers, name));
        return out.has_value() ? "" : "Idempotency-Key is not of the form <prefix>.<number>";
    default:
        return "Idempotency-Key is repeated";
    }
}

/** The answer for a copy that is neither run nor waited for. */
order_answer answer_of(order_admission it) {
    switch (it) {
    case order_admission::full:
        return plain(run_verdict::not_run, http_unavailable,
                     "no room to remember the order; use the new prefix");
    case order_admission::expired:
        return plain(run_verdict::may_have_run, http_gone, "the id has expired");
    case order_admission::mismatch:
        return plain(run_verdict::may_have_run, http_unprocessable, "the id was used with other content");
    default:
        return plain(run_verdict::may_have_run, http_unavailable, "the order is running");
    }
}

} // namespace

void order_flow::handle(const std::shared_ptr<http_exchange>& it, const order_call& call) {
    ++counters_.received;
    const auto& request = it->request();
    auto reply = std::make_shared<http_order_reply>(it, parts_.minter, parts_.time);
    std::optional<request_id> id;
    if (auto wrong = read_id(request.headers, id); !wrong.empty()) {
        ++counters_.invalid;
        reply->send(invalid(std::move(wrong)));
        return;
    }
    order_request order{.id = to_string(*id),
                        .service = call.service,
                        .method = request.method,
                        .path = call.path,
                        .headers = forwarded_headers(request.headers),
                        .body = request.body,
                        .timeout = call.timeout};
    if (id->home == parts_.minter.self()) {
        run_here(std::move(order), *id, std::move(reply));
    } else {
        relay(std::move(order), *id, std::move(reply));
    }
}

void order_flow::handle_relayed(order_request it, std::function<void(order_answer)> reply) {
    ++counters_.relayed_in;
    auto out = std::make_shared<relay_order_reply>(std::move(reply), parts_.minter, parts_.time);
    const auto id = parse_request_id(it.id);
    if (!id.has_value() || id->home != parts_.minter.self()) {
        // Relayed once only. This run knows nothing of the id and must not call it "not run".
        out->send(plain(run_verdict::may_have_run, http_unavailable, "this node is not the home of the id"));
        return;
    }
    run_here(std::move(it), *id, std::move(out));
}

void order_flow::run_here(order_request it, const request_id& id, std::shared_ptr<order_reply> reply) {
    if (!parts_.minter.is_genuine(id)) {
        ++counters_.invalid;
        reply->send(invalid("Idempotency-Key was not handed out by this node"));
        return;
    }
    const auto digest = digest_of(it);
    const auto now = parts_.time.now();
    const auto deadline = now + it.timeout;
    const auto result = parts_.table.admit(id, digest, deadline, now,
                                           [reply](const shared_answer& answer) { reply->send(*answer); });
    switch (result.admission) {
    case order_admission::run:
        ++counters_.run_here;
        std::make_shared<order_run>(parts_, options_.limits, std::move(it), id, digest.low, deadline,
                                    std::move(reply))
            ->route();
        return;
    case order_admission::waiting:
        return;
    case order_admission::recorded:
        reply->send(*result.answer);
        return;
    default:
        reply->send(answer_of(result.admission));
    }
}

void order_flow::relay(order_request it, const request_id& id, std::shared_ptr<order_reply> reply) {
    const auto address = homes_.find(id.home);
    if (!address.has_value()) {
        ++counters_.home_unknown;
        reply->send(plain(run_verdict::may_have_run, http_unavailable, "the home of the id is not known"));
        return;
    }
    ++counters_.relayed_out;
    const auto timeout = it.timeout;
    it.timeout = timeout - options_.relay_margin;
    peers_.relay_order(*address, std::move(it), timeout,
                       [this, reply = std::move(reply)](peer_failure failure, const order_answer& answer) {
                           on_relayed(failure, answer, *reply);
                       });
}

void order_flow::on_relayed(peer_failure failure, const order_answer& answer, order_reply& reply) {
    if (failure == peer_failure::none) {
        reply.send(answer);
        return;
    }
    const bool is_refused = failure == peer_failure::refused;
    ++(is_refused ? counters_.home_refused : counters_.home_silent);
    reply.send(plain(run_verdict::may_have_run, http_unavailable,
                     is_refused ? "the home of the id has ended" : "the home of the id does not answer"));
}

} // namespace berylcrank
