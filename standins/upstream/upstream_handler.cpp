#include "standins/upstream/upstream_handler.h"

#include "standins/common/json_response.h"
#include "standins/upstream/blob.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <unistd.h>

namespace berylcrank::standins {

namespace {

constexpr int crash_exit_code = 99;
constexpr std::uint64_t max_response_bytes = 16ULL << 20U;

work_key key_of(const http_request& it) {
    if (const auto value = find_header(it.headers, "Idempotency-Key")) {
        return {.text = std::string(*value), .is_caller_chosen = true};
    }
    return {.text = std::string(find_header(it.headers, "Berylcrank-Request-Id").value_or("")),
            .is_caller_chosen = false};
}

} // namespace

void upstream_handler::handle(std::shared_ptr<http_exchange> it) {
    const auto path = path_without_query(it->request());
    if (path == "/load") {
        handle_probe(it);
    } else if (path == "/control") {
        handle_control(it);
    } else if (path == "/executions") {
        handle_executions(it);
    } else {
        handle_work(it);
    }
}

void upstream_handler::handle_probe(const exchange_ptr& it) {
    worker_.count_probe();
    const auto respond = [this, it] {
        auto headers = common_headers(it->request(), {});
        it->respond(
            {.head = {.status = 200, .headers = std::move(headers)}, .body = worker_.load_report() + "\n"});
    };
    const auto delay = millis::from_value(worker_.settings().probe_delay_ms);
    if (delay.micros() > 0) {
        worker_.timers().call_after(delay, respond);
    } else {
        respond();
    }
}

void upstream_handler::handle_control(const exchange_ptr& it) {
    nlohmann::json state = worker_.settings();
    if (it->request().method == "GET") {
        respond_json(*it, 200, state);
        return;
    }
    auto change = read_json(*it);
    if (!change) {
        return;
    }
    if (change->value("cool", false) || change->value("restart", false)) {
        worker_.reset_to_cold(change->value("restart", false));
    }
    change->erase("cool");
    change->erase("restart");
    for (const auto& [key, value] : change->items()) {
        if (!state.contains(key)) {
            respond_json(*it, 400, {{"error", "unknown field \"" + key + "\""}});
            return;
        }
    }
    state.merge_patch(*change);
    try {
        worker_.set_settings(state.get<worker_settings>());
        respond_json(*it, 200, state);
    } catch (const nlohmann::json::exception& error) {
        respond_json(*it, 400, {{"error", error.what()}});
    }
}

void upstream_handler::handle_executions(const exchange_ptr& it) {
    if (const auto key = query_parameter(it->request(), "key")) {
        respond_json(*it, 200, {{"executions", worker_.executions(std::string(*key))}});
        return;
    }
    nlohmann::json document = worker_.counters();
    document["in_flight"] = worker_.in_flight();
    if (!it->request().path.ends_with("?brief")) {
        document["by_id"] = worker_.all_executions();
    }
    respond_json(*it, 200, document);
}

void upstream_handler::handle_work(const exchange_ptr& it) {
    const auto& request = it->request();
    const auto marker = worker_.settings().crash_marker;
    if (!marker.empty() &&
        (request.path.find(marker) != std::string::npos || request.body.find(marker) != std::string::npos)) {
        _exit(crash_exit_code);
    }
    worker_.submit(it, key_of(request), [this, it](job_outcome outcome) { respond_to_work(it, outcome); });
}

void upstream_handler::respond_to_work(const exchange_ptr& it, job_outcome outcome) {
    if (outcome != job_outcome::completed) {
        respond_failure(it, outcome);
        return;
    }
    const auto& request = it->request();
    const auto fault = worker_.consume_fault(request.path);
    if (fault == "hang") {
        // The callback keeps the exchange alive until the client disconnects.
        it->set_on_disconnect([it] {});
        return;
    }
    if (fault == "close") {
        it->abort();
        return;
    }
    if (parse_blob(path_without_query(request))) {
        respond_blob(it, fault);
        return;
    }
    auto body = response_body(request);
    if (fault.empty() || fault.ends_with("_id")) {
        it->respond(
            {.head = {.status = 200, .headers = common_headers(request, fault)}, .body = std::move(body)});
    } else {
        respond_truncated(it, body, fault);
    }
}

void upstream_handler::respond_failure(const exchange_ptr& it, job_outcome outcome) {
    http_response_head head{.status = 503, .headers = common_headers(it->request(), {})};
    const auto settings = worker_.settings();
    if (outcome == job_outcome::failed_fast) {
        head.status = settings.fail_status;
    } else if (outcome == job_outcome::expired) {
        head.status = 504;
    } else {
        head.headers.push_back({"Berylcrank-Verdict", "not-run"});
        if (settings.retry_no) {
            head.headers.push_back({"Berylcrank-Retry", "no"});
        }
    }
    it->respond({.head = std::move(head), .body = outcome == job_outcome::shed ? "shed\n" : "failed\n"});
}

void upstream_handler::respond_blob(const exchange_ptr& it, std::string_view fault) {
    const auto& request = it->request();
    const auto settings = worker_.settings();
    const auto whole = *parse_blob(path_without_query(request));
    const auto etag = absl::StrCat(settings.weak_etag ? "W/" : "", "\"", whole.size, "-", whole.seed,
                                   settings.etag_salt, "\"");
    auto part = select_range(whole, request, etag);
    if (settings.ignore_range) {
        part = {.status = 200, .first = 0, .size = whole.size};
    }
    http_response_head head{.status = part.status, .headers = common_headers(request, fault)};
    head.headers.push_back({"ETag", etag});
    head.headers.push_back({"Accept-Ranges", "bytes"});
    if (part.status == 206) {
        head.headers.push_back({"Content-Range", absl::StrCat("bytes ", part.first, "-",
                                                              part.first + part.size - 1, "/", whole.size)});
    } else if (part.status == 416) {
        head.headers.push_back({"Content-Range", absl::StrCat("bytes */", whole.size)});
        it->respond({.head = std::move(head), .body = {}});
        return;
    }
    const auto kind = fault == "cut"     ? stream_fault::cut
                      : fault == "stall" ? stream_fault::stall
                                         : stream_fault::none;
    stream_blob(it, whole, part, std::move(head), kind, settings.fault_bytes);
}

void upstream_handler::respond_truncated(const exchange_ptr& it, const std::string& body,
                                         std::string_view fault) {
    const bool is_chunked = fault == "truncated_chunked";
    const auto size = is_chunked ? std::nullopt : std::optional<std::uint64_t>(body.size() + 1);
    const auto buffer =
        it->start_response({.status = 200, .headers = common_headers(it->request(), fault)}, size);
    buffer->push(body);
    if (fault == "stalled") {
        it->set_on_disconnect([buffer] {});
    } else {
        buffer->fail();
    }
}

std::string upstream_handler::response_body(const http_request& it) {
    std::uint64_t size = 0;
    const auto bytes = query_parameter(it, "bytes");
    if (bytes && absl::SimpleAtoi(absl::string_view{bytes->data(), bytes->size()}, &size)) {
        std::string body(std::min(size, max_response_bytes), '\0');
        fill_blob({.size = body.size(), .seed = body.size()}, 0, body);
        return body;
    }
    return it.body.empty() ? nlohmann::json{{"upstream", name_}, {"path", it.path}}.dump() : it.body;
}

std::vector<http_header> upstream_handler::common_headers(const http_request& it, std::string_view fault) {
    std::vector<http_header> headers{{"Berylcrank-Load", worker_.load_report()}};
    const auto id = find_header(it.headers, "Berylcrank-Request-Id");
    if (id && fault != "missing_id") {
        headers.push_back({"Berylcrank-Request-Id", std::string(*id) + (fault == "wrong_id" ? "0" : "")});
    }
    return headers;
}

} // namespace berylcrank::standins
