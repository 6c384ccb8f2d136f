#include "modules/berylcrank_gateway/flow/request_flow.h"

#include "modules/berylcrank_gateway/client/http_client.h"
#include "modules/berylcrank_gateway/flow/gateway.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace berylcrank {

namespace {

// Maximum age of the load report of an upstream of another cell: two probe intervals.
constexpr millis spill_report_age{500};
constexpr millis max_stated_timeout{86400000}; // longer times of callers count as this

// The timeout that the caller states in its request, if any.
std::optional<millis> stated_timeout(const exchange& caller, const node_state& node) {
    const auto* text = find_header(caller.head.headers, node.wire.headers().timeout);
    double ms = 0;
    if (text == nullptr || !absl::SimpleAtod(*text, &ms) || !(ms > 0)) {
        return std::nullopt;
    }
    ms = std::min(ms, max_stated_timeout.value());
    return millis::from_value(ms);
}

} // namespace

request_flow::request_flow(gateway& owner, node_state& node, exchange_ptr caller,
                           std::shared_ptr<const route_entry> route, std::string service,
                           std::uint64_t number)
    : gateway_(owner), node_(node), caller_(std::move(caller)), route_(std::move(route)),
      service_(std::move(service)), number_(number), priority_(route_->priority) {
    if (const auto* id = find_header(caller_->head.headers, node_.wire.headers().request_id)) {
        id_ = *id;
    }
    const auto limit = route_->timeout > millis{} ? route_->timeout : node_.options.default_timeout;
    const auto stated = stated_timeout(*caller_, node_);
    deadline_ = caller_->received + std::min(limit, stated.value_or(limit));
    if (stated) {
        waited_before_ =
            node_.ages.estimate(route_->name, *stated, node_.no_recent_refusals(caller_->received));
    }
}

void request_flow::start() {
    caller_->on_disconnect = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_caller_disconnected();
        }
    };
    if (refuse_without_access()) {
        return;
    }
    node_.receive_messages();
    const auto now = node_.time.now();
    node_.budget(service_).record_request(now);
    gateway_.count_arrival(service_);
    if (refuse_if_suspect() || refuse_if_stopping()) {
        return;
    }
    place();
}

void request_flow::place() {
    if (refuse_without_access()) {
        return;
    }
    const auto now = node_.time.now();
    const bool is_late = late(now);
    const auto ahead = node_.waiting.ahead_of(service_, priority_, is_late);
    const auto picked = ahead == 0 ? pick() : upstream_pick{.any_usable = true};
    if (picked.it && may_use(now)) {
        send(picked);
        return;
    }
    // If its account is short of tokens, a request that is late leaves them to those in time, and one that no
    // upstream can take at once does not join the queue.
    const auto wait =
        cap_ ? node_.usage.client().refused_recently(account_number(*account_), now) : std::nullopt;
    if (wait && (is_late || !picked.it)) {
        refuse_over_limit(*wait);
        return;
    }
    if (picked.it) {
        request_token([this](const usage_decision& it) { it.token ? place() : refuse_without_token(it); });
        return;
    }
    const auto decision = decide_admission(make_admission_inputs(now, ahead), node_.options.admission);
    const auto pause_end = node_.upstreams.paused_until(service_, now);
    if (pause_end && *pause_end > now + decision.max_wait) {
        refuse("upstreams-paused");
        return;
    }
    if (!decision.waits) {
        refuse(picked.any_usable ? "no-room" : "no-upstream");
        return;
    }
    wait_for_slot(is_late, decision.max_wait, now);
}

void request_flow::wait_for_slot(bool is_late, millis max_wait, instant now) {
    waiting_ = true;
    node_.waiting.push({.number = number_,
                        .service = service_,
                        .priority = priority_,
                        .late = is_late,
                        .expires_at = now + max_wait,
                        .queued_at = now});
    gateway_.limit_queue(service_, max_wait);
}

bool request_flow::late(instant now) const {
    return decide_admission(make_admission_inputs(now, 0), node_.options.admission).late;
}

choice_request request_flow::make_choice_request(const std::vector<upstream_ptr>& members,
                                                 instant now) const {
    choice_request result{
        .tried = tried_,
        .transfer_bytes = node_.sizes.expected(*route_),
        .cold_allowed = [this, now](const upstream& it) { return node_.may_send_to_cold(it, now); }};
    const auto service = service_number(service_);
    if (node_.shares.has_remote_demand(service, now)) {
        result.shares = &node_.shares.of_service(
            service, gateway_.arrivals_per_second(service_), members,
            [this](const upstream& it) {
                return node_.upstreams.usable(it) ? usable_slots(it.entry.slots, node_.options.choice) : 0;
            },
            now);
    }
    result.borrow_probability = node_.shares.borrow_probability(service, now);
    result.target_left = target_time_left(make_admission_inputs(now, 0), node_.options.admission);
    result.in_time_only = result.shares != nullptr && !late(now);
    result.duration = node_.durations.median(route_->name);
    return result;
}

upstream_pick request_flow::pick(bool in_time_only) {
    if (node_.routes.service(service_) == nullptr) {
        return {}; // upstreams of a service that is not configured are known but not used
    }
    const auto now = node_.time.now();
    const auto& members = node_.subset.of_service(service_, now);
    auto request = make_choice_request(members, now);
    request.in_time_only = request.in_time_only || in_time_only;
    const auto choose = [&](const std::vector<upstream_ptr>& candidates) {
        request.candidates = candidates;
        return choose_upstream(node_.upstreams, node_.loads, request, node_.options.choice, node_.random,
                               now);
    };
    const bool yields_to_peers = sent_count_ == 0 &&
                                 node_.shares.has_remote_on_time_demand(service_number(service_), now) &&
                                 late(now);
    if (yields_to_peers || !start_limit_allows(members, now)) {
        return {.any_usable = true};
    }
    auto best = choose(members);
    const auto& spill = node_.subset.spill_of_service(service_, now);
    if (spill.empty() ||
        (best.it && best.cost < node_.options.choice.spill_cost * node_.loads.mean_slowness())) {
        return best;
    }
    node_.last_spill[service_] = now; // starts probing them
    request.max_report_age = spill_report_age;
    auto other = choose(spill);
    return !other.it || (best.it && best.cost <= other.cost) ? best : other;
}

bool request_flow::start_limit_allows(const std::vector<upstream_ptr>& members, instant now) const {
    int own = 0;
    double slots = 0;
    for (const auto& it : members) {
        const auto* load = node_.loads.find(it->number);
        own += load == nullptr ? 0 : load->own;
        slots += node_.upstreams.usable(*it) ? usable_slots(it->entry.slots, node_.options.choice) : 0;
    }
    return node_.start.allows(own, slots, node_.peers.cell_peer_count() + 1, now);
}

admission_inputs request_flow::make_admission_inputs(instant now, std::size_t ahead) const {
    return {.since_received = now - caller_->received,
            .prior_wait = waited_before_,
            .latency_target = route_->latency_target,
            .deadline_left = deadline_ - now,
            .duration = node_.durations.median(route_->name),
            .ahead = ahead,
            .drained_per_second = gateway_.completions_per_second(service_),
            .random = node_.random.unit()};
}

void request_flow::send(const upstream_pick& picked) {
    const auto now = node_.time.now();
    waiting_ = false;
    ++sent_count_;
    tried_.push_back(picked.it->number);
    node_.log.line("sent")
        .field("request", id_)
        .field("route", route_->name)
        .field("account", account_.value_or(""))
        .field("version", node_.routes.version())
        .field("upstream", picked.it->entry.id)
        .field("try", sent_count_)
        .field("left_ms", (deadline_ - now).count())
        .field("before_ms", waited_before_.count())
        .field("cost", picked.cost)
        .field("next_cost", picked.next_best_cost)
        .field("in_flight", picked.in_flight)
        .field("report_age_ms", picked.report_age.count())
        .field("waited_ms", (now - caller_->received).count())
        .send();
    auto it = std::make_shared<attempt>(node_, *this, picked.it,
                                        attempt::options{.request_id = id_,
                                                         .is_idempotent = is_idempotent(route_->kind),
                                                         .token = std::exchange(token_, std::nullopt)});
    attempts_.push_back(it);
    it->start(serialized(*picked.it, now), caller_->head.method == "HEAD");
}

std::string request_flow::serialized(const upstream& target, instant now) const {
    const auto& names = node_.wire.headers();
    call_request it{.method = caller_->head.method, .target = caller_->head.target, .body = caller_->body};
    for (const auto& [name, value] : caller_->head.headers) {
        if (is_forwarded_header(name)) {
            it.headers.emplace_back(name, value);
        }
    }
    it.headers.emplace_back(names.timeout,
                            absl::StrCat(std::max<std::int64_t>(1, (deadline_ - now).count())));
    it.headers.emplace_back(names.target_upstream, target.entry.id);
    if (account_) {
        it.headers.emplace_back(names.account, *account_);
    }
    return serialize(it);
}

void request_flow::on_progress(attempt& it) {
    if (done_ || abandoned_ || !it.has_head) {
        it.body.clear();
        return;
    }
    if (streamed_attempt_ != nullptr && streamed_attempt_ != &it) {
        it.body.clear();
        return;
    }
    // A write may detect that the caller has disconnected, or that memory is short, which ends the attempt
    // and this flow.
    const auto keep = it.shared_from_this();
    const auto self = shared_from_this();
    if (streamed_attempt_ == nullptr && it.body.size() < node_.options.max_buffered_response_bytes) {
        std::size_t buffered = 0;
        for (const auto& one : attempts_) {
            buffered += allocated_bytes(one->body);
        }
        caller_->keep(buffered);
        return;
    }
    if (streamed_attempt_ == nullptr) {
        streamed_attempt_ = &it;
        cancel_others(it);
        begin_response(it.head, it.head.length);
    }
    caller_->keep(0); // of this attempt; the others are cancelled
    caller_->append(it.body);
    it.body.clear();
    if (done_ || abandoned_) {
        return;
    }
    if (caller_->unsent_bytes() > node_.options.max_unsent_bytes) {
        caller_->on_drained = [resume = it.connection()->pause_reading(), weak = it.weak_from_this()] {
            if (const auto paused = weak.lock()) {
                paused->on_reading_resumed();
            }
            resume();
        };
    }
}

void request_flow::begin_response(const response_head& head, std::optional<std::uint64_t> length) {
    header_list headers;
    for (const auto& field : head.headers) {
        if (!is_hop_by_hop_header(field.first) &&
            !header_names_equal(field.first, node_.wire.headers().load)) {
            headers.push_back(field);
        }
    }
    caller_->begin(head.status, head.reason, headers, length);
}

void request_flow::log_attempt_end(const attempt& it) {
    const bool whole = it.result() == send_result::response;
    const bool not_run = it.result() == send_result::not_run;
    node_.log.line("attempt-ended")
        .field("request", id_)
        .field("upstream", it.target().entry.id)
        .field("result", whole     ? "response"
                         : not_run ? "not-run"
                                   : "may-have-run")
        .field("status", it.has_head ? it.head.status : 0)
        .field("failure", it.complete ? "" : to_string(it.failure()))
        .field("error", it.connection() ? it.connection()->error() : "")
        .field("took_ms", (node_.time.now() - it.started()).value())
        .field("upstream_running", it.load ? it.load->running : -1)
        .field("upstream_waiting", it.load ? it.load->waiting : -1)
        .field("slowness", it.load ? it.load->slowness : 0)
        .send();
    node_.metrics.count_attempt(service_, whole ? "response" : not_run ? "not-run" : "unknown");
}

void request_flow::on_end(attempt& it) {
    const auto self = shared_from_this();
    log_attempt_end(it);
    report_crash_evidence(it);
    gateway_.count_completion(service_);
    gateway_.send_waiting(service_);
    if (done_ || abandoned_) {
        finish("abandoned", 0);
        return;
    }
    if (it.result() == send_result::response) {
        deliver_response(it);
    } else if (it.result() == send_result::not_run) {
        if (!token_) {
            token_ = it.token(); // not used up
        }
        if (!it.reached() && !it.complete) {
            --sent_count_; // the request did not reach the upstream
            ++connect_failures_;
        }
        retry_or([this] { may_have_run_ ? fail(502, "upstream-failed") : refuse("upstream-full"); },
                 "not-run");
    } else if (streamed_attempt_ == &it) {
        finish("broken-off", it.head.status);
        caller_->abort();
    } else {
        may_have_run_ = true;
        if (is_idempotent(route_->kind)) {
            retry_or([this] { fail(502, "upstream-failed"); }, "failed");
        } else {
            fail(502, "may-have-run");
        }
    }
}

void request_flow::deliver_response(attempt& it) {
    node_.sizes.record(route_->name, static_cast<double>(caller_->body.size() + it.received()));
    if (it.head.status < 300) {
        node_.durations.record(route_->name, node_.time.now() - it.started(),
                               it.load ? it.load->slowness : 1);
    }
    if (streamed_attempt_ == &it) {
        caller_->append(it.body);
        caller_->finish();
        finish("response", it.head.status);
        return;
    }
    if (it.head.status >= 500 && is_idempotent(route_->kind)) {
        may_have_run_ = true;
        const auto failed_attempt = it.shared_from_this();
        retry_or([this, failed_attempt] { deliver_whole(*failed_attempt, "upstream-error"); },
                 "upstream-error");
        return;
    }
    deliver_whole(it, "response");
}

void request_flow::deliver_whole(const attempt& it, std::string_view result) {
    begin_response(it.head, it.body.size());
    caller_->keep(0);
    caller_->append(it.body);
    caller_->finish();
    finish(result, it.head.status);
}

} // namespace berylcrank
