#include "modules/berylcrank_http/server/mhd_server.h"

#include "modules/berylcrank_core/verdict/run_verdict.h"
#include "modules/berylcrank_http/server/listen_socket.h"

#include "absl/strings/numbers.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace berylcrank {

namespace {

using steady = std::chrono::steady_clock;

std::string_view refusal_text(unsigned status) {
    switch (status) {
    case MHD_HTTP_REQUEST_TIMEOUT:
        return "request was sent too slowly\n";
    case MHD_HTTP_CONTENT_TOO_LARGE:
        return "request body is too large\n";
    case MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE:
        return "request header is too large\n";
    case MHD_HTTP_HTTP_VERSION_NOT_SUPPORTED:
        return "only HTTP/1.1 is served\n";
    default:
        return "Content-Length or Transfer-Encoding is malformed or repeated\n";
    }
}

MHD_Result add_header(void* headers, enum MHD_ValueKind /*kind*/, const char* name, const char* value) {
    static_cast<std::vector<http_header>*>(headers)->push_back(
        {.name = name, .value = value == nullptr ? "" : value});
    return MHD_YES;
}

} // namespace

struct mhd_server::active_request {
    MHD_Connection* connection{nullptr};
    std::shared_ptr<mhd_exchange> exchange;
    std::shared_ptr<connection_monitor::connection> monitored;
    steady::time_point head_received_at;
    std::size_t body_bytes{0};
    bool has_head{false};
    bool is_refused{false};
    bool is_handled{false};
};

mhd_server::mhd_server(const options& opts, http_handler& handler)
    // libmicrohttpd closes an idle connection after `idle_timeout`. Only a slow sender reaches twice that.
    : options_(opts), handler_(handler),
      loops_(opts.loops ? opts.loops : std::make_shared<loop_group>(opts.threads)),
      monitor_({.head_timeout = opts.idle_timeout * 2.0}) {}

mhd_server::~mhd_server() {
    stop_accepting();
    is_stopping_.store(true);
    monitor_.disconnect_all();
    daemons_.clear();
}

bool mhd_server::start(int socket) {
    address_ = bound_address(socket);
    for (std::size_t n = 0; n < loops_->size(); ++n) {
        const int duplicate = fcntl(socket, F_DUPFD_CLOEXEC, 0);
        MHD_Daemon* const daemon = start_daemon(duplicate);
        if (daemon == nullptr) {
            close(duplicate);
            return false;
        }
        daemons_.push_back(std::make_unique<mhd_daemon>(loops_->at(n), daemon));
    }
    close(socket);
    return true;
}

MHD_Daemon* mhd_server::start_daemon(int socket) {
    // Room for a header block of the maximum size, its parsed form and the head of the response.
    const std::size_t memory_bytes = std::max<std::size_t>(32768, options_.max_header_bytes * 2 + 16384);
    const auto idle_s =
        static_cast<unsigned>(std::max<std::int64_t>(1, (options_.idle_timeout.count() + 999) / 1000));
    const auto connections =
        std::max<unsigned>(1, options_.max_connections / static_cast<unsigned>(loops_->size()));
    return MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, nullptr, nullptr,
                            &on_request_data, this, MHD_OPTION_EXTERNAL_LOGGER, &on_log, this,
                            MHD_OPTION_LISTEN_SOCKET, socket, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                            memory_bytes, MHD_OPTION_CONNECTION_LIMIT, connections,
                            MHD_OPTION_CONNECTION_TIMEOUT, idle_s, MHD_OPTION_URI_LOG_CALLBACK,
                            &on_request_line, this, MHD_OPTION_NOTIFY_COMPLETED, &on_completed, this,
                            MHD_OPTION_NOTIFY_CONNECTION, &on_connection, this, MHD_OPTION_END);
}

http_server::counters mhd_server::totals() const {
    return {.requests = requests_.load(),
            .body_too_large = body_too_large_.load(),
            .header_too_large = header_too_large_.load(),
            .malformed = malformed_.load(),
            .too_slow = too_slow_.load() + monitor_.too_slow(),
            .disconnected = disconnected_.load()};
}

void mhd_server::stop_accepting() {
    if (is_closing_.exchange(true)) {
        return;
    }
    for (const auto& daemon : daemons_) {
        daemon->stop_accepting();
    }
}

void* mhd_server::on_request_line(void* self, const char* uri, MHD_Connection* connection) {
    auto* const server = static_cast<mhd_server*>(self);
    auto* const active = new active_request;
    active->connection = connection;
    active->exchange =
        std::make_shared<mhd_exchange>(mhd_exchange::options{.connection = connection,
                                                             .daemon = mhd_daemon::running(),
                                                             .buffer_bytes = server->options_.buffer_bytes,
                                                             .closing = &server->is_closing_,
                                                             .stopping = &server->is_stopping_});
    active->exchange->receiving().path = uri;
    const auto* const info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    active->monitored = *static_cast<std::shared_ptr<connection_monitor::connection>*>(info->socket_context);
    return active;
}

MHD_Result mhd_server::on_request_data(void* self, MHD_Connection* /*connection*/, const char* /*url*/,
                                       const char* method, const char* version, const char* data,
                                       std::size_t* size, void** request) {
    auto* const server = static_cast<mhd_server*>(self);
    auto& active = *static_cast<active_request*>(*request);
    if (!active.has_head) {
        return server->handle_head(active, method, version);
    }
    if (*size != 0) {
        const auto n = std::exchange(*size, 0);
        return server->handle_body(active, {data, n});
    }
    return server->handle_end(active);
}

MHD_Result mhd_server::handle_head(active_request& active, const char* method, const char* version) {
    active.has_head = true;
    active.head_received_at = steady::now();
    auto& request = active.exchange->receiving();
    request.method = method;
    MHD_get_connection_values(active.connection, MHD_HEADER_KIND, &add_header, &request.headers);
    active.monitored->begin_request(active.exchange);
    const auto status = check_head(active, version);
    return status == 0 ? MHD_YES : refuse(active, status);
}

unsigned mhd_server::check_head(active_request& active, std::string_view version) {
    const auto& request = active.exchange->request();
    const auto* const info =
        MHD_get_connection_info(active.connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    unsigned status = 0;
    std::uint64_t length = 0;
    const auto lengths = count_headers(request.headers, "Content-Length");
    const auto codings = count_headers(request.headers, "Transfer-Encoding");
    if (info != nullptr && info->header_size > options_.max_header_bytes) {
        status = MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
    } else if (lengths + codings > 1) {
        status = MHD_HTTP_BAD_REQUEST;
    } else if (lengths == 1) {
        const auto text = *find_header(request.headers, "Content-Length");
        const bool is_number =
            !text.empty() && std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
        if (!is_number || !absl::SimpleAtoi(absl::string_view{text.data(), text.size()}, &length)) {
            status = MHD_HTTP_BAD_REQUEST;
        } else if (length > options_.max_body_bytes) {
            status = MHD_HTTP_CONTENT_TOO_LARGE;
        }
    }
    if (status == 0 && version != MHD_HTTP_VERSION_1_1) {
        status = MHD_HTTP_HTTP_VERSION_NOT_SUPPORTED;
    }
    active.is_refused = status != 0;
    active.exchange->receiving().body.reserve(active.is_refused ? 0 : static_cast<std::size_t>(length));
    return status;
}

MHD_Result mhd_server::handle_body(active_request& active, std::span<const char> bytes) {
    active.body_bytes += bytes.size();
    if (steady::now() - active.head_received_at > options_.idle_timeout.to_chrono()) {
        too_slow_.fetch_add(1);
        active.is_refused = true;
        return MHD_NO;
    }
    // libmicrohttpd sends no response before the end of the body, so up to twice the limit is read.
    if (active.body_bytes > options_.max_body_bytes * 2) {
        body_too_large_.fetch_add(1);
        active.is_refused = true;
        return MHD_NO;
    }
    if (active.body_bytes <= options_.max_body_bytes) {
        active.exchange->receiving().body.append(bytes.data(), bytes.size());
    }
    return MHD_YES;
}

MHD_Result mhd_server::handle_end(active_request& active) {
    if (active.is_refused) {
        return MHD_YES;
    }
    if (active.body_bytes > options_.max_body_bytes) {
        active.is_refused = true;
        return refuse(active, MHD_HTTP_CONTENT_TOO_LARGE);
    }
    if (!active.is_handled) {
        active.is_handled = true;
        requests_.fetch_add(1);
        open_exchanges_.fetch_add(1);
        handler_.handle(active.exchange);
    }
    return active.exchange->respond_or_suspend();
}

MHD_Result mhd_server::refuse(const active_request& active, unsigned status) {
    count_refusal(status);
    const auto reason = refusal_text(status);
    auto* const response = MHD_create_response_from_buffer(reason.size(), const_cast<char*>(reason.data()),
                                                           MHD_RESPMEM_PERSISTENT);
    // An earlier copy with the same id may have run; only the home node of the id knows.
    const bool has_id =
        MHD_lookup_connection_value(active.connection, MHD_HEADER_KIND, "Idempotency-Key") != nullptr;
    const std::string verdict(to_string(has_id ? run_verdict::may_have_run : run_verdict::not_run));
    MHD_add_response_header(response, "Berylcrank-Verdict", verdict.c_str());
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    const auto result = MHD_queue_response(active.connection, status, response);
    MHD_destroy_response(response);
    return result;
}

void mhd_server::count_refusal(unsigned status) {
    if (status == MHD_HTTP_CONTENT_TOO_LARGE) {
        body_too_large_.fetch_add(1);
    } else if (status == MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE || status == MHD_HTTP_URI_TOO_LONG) {
        header_too_large_.fetch_add(1);
    } else {
        malformed_.fetch_add(1);
    }
}

void mhd_server::on_completed(void* self, MHD_Connection* /*connection*/, void** request,
                              MHD_RequestTerminationCode code) {
    auto* const server = static_cast<mhd_server*>(self);
    const std::unique_ptr<active_request> active(static_cast<active_request*>(*request));
    *request = nullptr;
    if (active == nullptr) {
        return;
    }
    if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK) {
        active->exchange->mark_complete();
    } else {
        active->exchange->mark_disconnected();
        if (active->is_handled) {
            server->disconnected_.fetch_add(1);
        } else if (code == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED && !active->is_refused) {
            server->too_slow_.fetch_add(1);
        }
    }
    active->monitored->end_request(active->is_refused);
    if (active->is_handled) {
        server->open_exchanges_.fetch_sub(1);
    }
}

void mhd_server::on_connection(void* self, MHD_Connection* connection, void** context,
                               MHD_ConnectionNotificationCode code) {
    auto* const server = static_cast<mhd_server*>(self);
    using connection_handle = std::shared_ptr<connection_monitor::connection>;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const auto* const info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        *context = new connection_handle(server->monitor_.add(info->connect_fd));
    } else {
        const std::unique_ptr<connection_handle> handle(static_cast<connection_handle*>(*context));
        *context = nullptr;
        server->monitor_.remove((*handle)->id());
    }
}

void mhd_server::on_log(void* self, const char* format, std::va_list values) noexcept {
    // libmicrohttpd reports the requests that it refuses itself only in its log.
    constexpr std::string_view marker = "response code is ";
    char line[512];
    const int n = std::vsnprintf(line, sizeof(line), format, values);
    const std::string_view text(line, std::clamp<int>(n, 0, sizeof(line) - 1));
    const auto at = text.find(marker);
    unsigned status = 0;
    if (at != std::string_view::npos) {
        const auto digits = text.substr(at + marker.size(), 3);
        if (absl::SimpleAtoi(absl::string_view{digits.data(), digits.size()}, &status)) {
            static_cast<mhd_server*>(self)->count_refusal(status);
        }
    }
}

boost::leaf::result<std::unique_ptr<http_server>> start_http_server(const http_server::options& opts,
                                                                    http_handler& handler) {
    BOOST_LEAF_AUTO(socket, open_listen_socket(opts.address));
    auto server = std::make_unique<mhd_server>(opts, handler);
    if (!server->start(socket)) {
        close(socket);
        return boost::leaf::new_error("cannot start serving threads on " + opts.address);
    }
    return std::unique_ptr<http_server>(std::move(server));
}

} // namespace berylcrank
