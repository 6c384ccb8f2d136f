#include "bench/path/servers.h"

#include "modules/berylcrank_http/berylcrank_http.h"
#include "modules/berylcrank_node/request/idempotent_flow.h"

#include <boost/leaf/handle_errors.hpp>
#include <mutex>
#include <stdexcept>

namespace berylcrank::bench {

namespace {

/** Writes one download of identical blocks into a buffer. */
class download_writer : public std::enable_shared_from_this<download_writer> {
public:
    void start(const std::shared_ptr<body_buffer>& buffer) {
        buffer_ = buffer;
        buffer->set_on_space([self = shared_from_this()] { self->push(); });
        push();
    }

private:
    void push() {
        const std::lock_guard lock(mutex_);
        const auto buffer = buffer_.lock();
        while (buffer && remaining_ != 0 && buffer->push(block_)) {
            remaining_ -= block_.size();
        }
        if (buffer && remaining_ == 0) {
            buffer->finish();
        }
    }

    std::mutex mutex_;
    std::size_t remaining_{download_bytes};
    const std::string block_ = std::string(65536, 'x');
    std::weak_ptr<body_buffer> buffer_;
};

/** Responds immediately with a body of fixed size. */
class upstream_handler final : public http_handler {
public:
    void handle(std::shared_ptr<http_exchange> exchange) override {
        const auto& request = exchange->request();
        http_response_head head{.status = 200,
                                .headers = {{"Berylcrank-Load", "in_flight=1;slots=4;state=warm"}}};
        if (const auto id = find_header(request.headers, "Berylcrank-Request-Id")) {
            head.headers.push_back({"Berylcrank-Request-Id", std::string(*id)});
        }
        if (request.path == "/download") {
            std::make_shared<download_writer>()->start(
                exchange->start_response(std::move(head), download_bytes));
        } else {
            exchange->respond({.head = std::move(head), .body = std::string(lookup_bytes, 'x')});
        }
    }
};

/** The fixed upstream. Every connection may be used. */
class fixed_target final : public attempt_target {
public:
    explicit fixed_target(const std::string& address) : address_(address) {}
    [[nodiscard]] const std::string& upstream() const override { return address_; }
    [[nodiscard]] const std::string& address() const override { return address_; }
    bool may_send(const connection_info& /*connection*/) override { return true; }
    void report_load(std::string_view /*header*/) override {}
    void finish(const attempt_result& /*result*/) override {}

private:
    const std::string& address_;
};

/** Routes every request to the same upstream. */
class fixed_router final : public attempt_router {
public:
    explicit fixed_router(std::string address) : address_(std::move(address)) {}
    void route(attempt_request /*request*/, target_callback target_found,
               refusal_callback /*refusal*/) override {
        target_found(std::make_unique<fixed_target>(address_));
    }

private:
    const std::string address_;
};

/** The request path of a node, without policy, queue and permits. */
class relay_handler final : public http_handler {
public:
    relay_handler(const std::shared_ptr<loop_group>& loops, const std::string& upstream)
        : router_(upstream), client_(make_upstream_client({.loops = loops, .connections_per_upstream = 64})),
          flow_({.id_prefix = "bench"}, router_, *client_, clock_) {}

    void handle(std::shared_ptr<http_exchange> exchange) override {
        auto path = exchange->request().path;
        const auto cls = path == "/download" ? request_class::download : request_class::lookup;
        flow_.run(
            {.exchange = std::move(exchange), .service = "s", .request_class = cls, .path = std::move(path)});
    }

private:
    fixed_router router_;
    std::unique_ptr<upstream_client> client_;
    steady_clock clock_;
    idempotent_flow flow_;
};

std::string start_server(const std::shared_ptr<loop_group>& loops, http_handler& handler) {
    static std::unique_ptr<http_server> server;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_ASSIGN(server, start_http_server({.loops = loops}, handler));
            return server->address();
        },
        [](const std::string& reason) -> std::string { throw std::runtime_error(reason); },
        []() -> std::string { throw std::runtime_error("cannot start the HTTP server"); });
}

} // namespace

std::string start_upstream(unsigned threads) {
    static upstream_handler handler;
    return start_server(std::make_shared<loop_group>(threads), handler);
}

std::string start_relay(unsigned threads, const std::string& upstream) {
    const auto loops = std::make_shared<loop_group>(threads);
    static relay_handler handler(loops, upstream);
    return start_server(loops, handler);
}

} // namespace berylcrank::bench
