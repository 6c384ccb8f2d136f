#include "modules/berylcrank_http/client/transfer.h"

#include "modules/berylcrank_core/verdict/run_verdict.h"

#include "absl/strings/match.h"

#include <algorithm>
#include <array>
#include <utility>

namespace berylcrank {

namespace {

constexpr long receive_buffer_bytes = 65536;
// The body of a shed response is read up to this size so that its connection can be reused.
constexpr std::uint64_t max_shed_bytes = 16384;

bool is_managed_header(std::string_view name) {
    constexpr std::array names{"Host",       "Content-Length", "Transfer-Encoding",
                               "Connection", "Expect",         "Berylcrank-Request-Id"};
    return std::ranges::any_of(names, [&](const char* managed) {
        return absl::EqualsIgnoreCase(managed, {name.data(), name.size()});
    });
}

bool is_single_line(std::string_view text) {
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

bool is_request_target(std::string_view text) {
    return text.starts_with('/') && std::ranges::all_of(text, [](char c) { return c > ' ' && c != 127; });
}

run_verdict verdict_of(attempt_end end, bool is_sent) {
    switch (end) {
    case attempt_end::complete:
        return run_verdict::ran;
    case attempt_end::connect_failed:
    case attempt_end::denied:
    case attempt_end::shed:
        return run_verdict::not_run;
    default:
        return is_sent ? run_verdict::may_have_run : run_verdict::not_run;
    }
}

} // namespace

transfer::transfer(const upstream_client::options& opts) : easy_(curl_easy_init()) {
    set_common_options(opts);
}

transfer::~transfer() {
    curl_easy_cleanup(easy_);
    curl_slist_free_all(headers_);
}

void transfer::set_common_options(const upstream_client::options& opts) {
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_PROXY, "");
    curl_easy_setopt(easy_, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy_, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy_, CURLOPT_HTTP09_ALLOWED, 0L);
    curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy_, CURLOPT_BUFFERSIZE, receive_buffer_bytes);
    curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(opts.connect_timeout.count()));
    curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
    // Without a seek function libcurl cannot send the body again on another connection.
    curl_easy_setopt(easy_, CURLOPT_READFUNCTION, &on_read);
    curl_easy_setopt(easy_, CURLOPT_READDATA, this);
    curl_easy_setopt(easy_, CURLOPT_SOCKOPTFUNCTION, &on_new_socket);
    curl_easy_setopt(easy_, CURLOPT_SOCKOPTDATA, this);
    curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &on_before_request);
    curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
}

bool transfer::prepare(const upstream_request& request, upstream_observer& observer,
                       steady::time_point started) {
    request_ = &request;
    observer_ = &observer;
    started_ = started;
    progress_ = steady::now();
    body_sent_ = 0;
    body_received_ = 0;
    shed_bytes_ = 0;
    connection_ = {.local_port = 0, .is_new = false};
    end_.reset();
    is_sent_ = false;
    is_shed_ = false;
    is_paused_ = false;
    parser_.reset(request.method == "HEAD");
    if (!is_request_target(request.path) || !is_single_line(request.method) ||
        !is_single_line(request.address) || request.method.empty() || !set_headers()) {
        return false;
    }
    curl_easy_setopt(easy_, CURLOPT_URL, ("http://" + request.address + "/").c_str());
    curl_easy_setopt(easy_, CURLOPT_REQUEST_TARGET, request.path.c_str());
    set_method();
    return true;
}

void transfer::set_method() {
    const auto& method = request_->method;
    const bool has_body = request_->body && !request_->body->empty();
    const bool is_plain = !has_body && (method == "GET" || method == "HEAD");
    // Sends Content-Length only with a body or with a method that usually has one.
    const bool has_length = has_body || method == "POST" || method == "PUT" || method == "PATCH";
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, is_plain ? nullptr : method.c_str());
    if (has_length) {
        curl_easy_setopt(easy_, CURLOPT_POST, 1L);
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(has_body ? request_->body->size() : 0));
    } else if (method == "HEAD") {
        curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
    } else {
        curl_easy_setopt(easy_, CURLOPT_HTTPGET, 1L);
    }
    curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS,
                     request_->timeout ? std::max<long>(1, request_->timeout->count()) : 0L);
    // libcurl retries a request with an empty body when a reused connection closes without a response.
    curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, !request_->idempotent && !has_body ? 1L : 0L);
}

bool transfer::set_headers() {
    curl_slist_free_all(std::exchange(headers_, nullptr));
    bool has_accept = false;
    bool has_content_type = false;
    for (const auto& header : request_->headers) {
        if (is_managed_header(header.name)) {
            continue;
        }
        has_accept = has_accept || absl::EqualsIgnoreCase(header.name, "Accept");
        has_content_type = has_content_type || absl::EqualsIgnoreCase(header.name, "Content-Type");
        if (!add_header(header.name, header.value)) {
            return false;
        }
    }
    if (!add_header("Berylcrank-Request-Id", request_->request_id)) {
        return false;
    }
    // A header name without a value stops libcurl from adding its default header.
    headers_ = curl_slist_append(headers_, "Expect:");
    if (!has_accept) {
        headers_ = curl_slist_append(headers_, "Accept:");
    }
    if (!has_content_type) {
        headers_ = curl_slist_append(headers_, "Content-Type:");
    }
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers_);
    return true;
}

bool transfer::add_header(std::string_view name, std::string_view value) {
    if (name.empty() || !is_single_line(name) || !is_single_line(value) ||
        name.find_first_of(":; ") != std::string_view::npos) {
        return false;
    }
    std::string line(name);
    line += value.empty() ? ";" : ": "; // libcurl's syntax for a header with an empty value.
    line += value;
    headers_ = curl_slist_append(headers_, line.c_str());
    return true;
}

void transfer::resume() {
    if (std::exchange(is_paused_, false)) {
        progress_ = steady::now();
        curl_easy_pause(easy_, CURLPAUSE_CONT);
    }
}

std::optional<attempt_end> transfer::check_timeouts(steady::time_point now) const {
    if (request_->timeout && now - started_ > request_->timeout->to_chrono()) {
        return attempt_end::timed_out;
    }
    if (!is_paused_ && now - progress_ > request_->stall.to_chrono()) {
        return attempt_end::stalled;
    }
    return std::nullopt;
}

attempt_result transfer::finish(CURLcode code, std::optional<attempt_end> forced) {
    attempt_result result;
    result.end = classify_end(code);
    if (forced && !end_ && !is_shed_) {
        result.end = *forced;
    }
    result.verdict = verdict_of(result.end, is_sent_);
    result.status = parser_.is_complete() ? parser_.head().status : 0;
    result.body_bytes = body_received_;
    result.connection = connection_;
    result.duration = millis::from_micros(
        std::chrono::duration_cast<std::chrono::microseconds>(steady::now() - started_).count());
    if (result.end == attempt_end::shed) {
        result.shed_head = std::move(parser_.head());
    }
    return result;
}

attempt_end transfer::classify_end(CURLcode code) const {
    if (end_) {
        return *end_;
    }
    if (is_shed_) {
        return attempt_end::shed;
    }
    if (!is_sent_) {
        return attempt_end::connect_failed;
    }
    switch (code) {
    case CURLE_OK:
        return parser_.is_complete() ? attempt_end::complete : attempt_end::malformed;
    case CURLE_OPERATION_TIMEDOUT:
        return attempt_end::timed_out;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_OUT_OF_MEMORY: // Returned by libcurl for a head above its own limit.
        return attempt_end::malformed;
    default:
        return parser_.is_complete() ? attempt_end::truncated : attempt_end::reset;
    }
}

size_t transfer::on_header(char* data, size_t size, size_t n, void* self) {
    auto& attempt = *static_cast<transfer*>(self);
    switch (attempt.parser_.parse_line({data, size * n})) {
    case response_head_parser::parse_status::incomplete:
        return size * n;
    case response_head_parser::parse_status::complete:
        return attempt.handle_head() ? size * n : 0;
    case response_head_parser::parse_status::malformed:
        break;
    }
    attempt.end_ = attempt_end::malformed;
    return 0;
}

bool transfer::handle_head() {
    progress_ = steady::now();
    const auto& head = parser_.head();
    const auto id = find_header(head.headers, "Berylcrank-Request-Id");
    if (id != request_->request_id || count_headers(head.headers, "Berylcrank-Request-Id") != 1) {
        end_ = attempt_end::wrong_id;
        return false;
    }
    is_shed_ = head.status == 503 &&
               find_header(head.headers, "Berylcrank-Verdict") == to_string(run_verdict::not_run);
    if (!is_shed_ && !observer_->on_head(head, parser_.content_bytes())) {
        end_ = attempt_end::cancelled;
        return false;
    }
    return true;
}

size_t transfer::on_body(char* data, size_t size, size_t n, void* self) {
    auto& attempt = *static_cast<transfer*>(self);
    attempt.progress_ = steady::now();
    const auto bytes = size * n;
    if (attempt.is_shed_) {
        attempt.shed_bytes_ += bytes;
        return attempt.shed_bytes_ > max_shed_bytes ? 0 : bytes;
    }
    if (!attempt.observer_->on_body({data, bytes})) {
        attempt.is_paused_ = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    attempt.body_received_ += bytes;
    return bytes;
}

size_t transfer::on_read(char* out, size_t size, size_t n, void* self) {
    auto& attempt = *static_cast<transfer*>(self);
    attempt.progress_ = steady::now();
    if (!attempt.request_->body) {
        return 0;
    }
    const auto& body = *attempt.request_->body;
    const auto size_taken = std::min(size * n, body.size() - attempt.body_sent_);
    body.copy(out, size_taken, attempt.body_sent_);
    attempt.body_sent_ += size_taken;
    return size_taken;
}

int transfer::on_new_socket(void* self, curl_socket_t /*socket*/, curlsocktype /*purpose*/) {
    static_cast<transfer*>(self)->connection_.is_new = true;
    return CURL_SOCKOPT_OK;
}

int transfer::on_before_request(void* self, char* /*address*/, char* /*local_address*/, int /*port*/,
                                int local_port) {
    auto& attempt = *static_cast<transfer*>(self);
    if (attempt.is_sent_) {
        // libcurl is about to retry the request on another connection.
        attempt.end_ = attempt_end::reset;
        return CURL_PREREQFUNC_ABORT;
    }
    attempt.connection_.local_port = static_cast<std::uint16_t>(local_port);
    if (!attempt.observer_->may_send(attempt.connection_)) {
        attempt.end_ = attempt_end::denied;
        return CURL_PREREQFUNC_ABORT;
    }
    attempt.progress_ = steady::now();
    attempt.is_sent_ = true;
    return CURL_PREREQFUNC_OK;
}

} // namespace berylcrank
