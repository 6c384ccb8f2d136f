#include "bench/path/servers.h"

#include "modules/berylcrank_http/berylcrank_http.h"
#include "modules/berylcrank_node/request/idempotent_flow.h"

#include <boost/leaf/handle_errors.hpp>
#include <mutex>
#include <stdexcept>

namespace berylcrank::bench {

namespace {

/** Pushes one download, whose blocks are all alike. */
class download : public std::enable_shared_from_this<download> {
public:
    void start(const std::shared_ptr<body_buffer>& buffer) {
        buffer_ = buffer;
        buffer->set_on_space([self = shared_from_this()] { self->push(); });
        push();
    }

private:
    void push() {
        const std::lock_guard hold(mutex_);
        const auto buffer = buffer_.lock();
        while (buffer && left_ != 0 && buffer->push(block_)) {
            left_ -= block_.size();
        }
        if (buffer && left_ == 0) {
            buffer->finish();
        }
    }

    std::mutex mutex_;
    std::size_t left_{download_bytes};
    const std::string block_ = std::string(65536, 'x');
    std::weak_ptr<body_buffer> buffer_;
};

class upstream_handler final : public http_handler {
public:
    void handle(std::shared_ptr<http_exchange> it) override {
        const auto& request = it->request();
        http_answer_head head{.status = 200,
                              .headers = {{"Berylcrank-Load", "in_flight=1;slots=4;state=warm"}}};
        if (const auto id = find_header(request.headers, "Berylcrank-Request-Id")) {
            head.headers.push_back({"Berylcrank-Request-Id", std::string(*id)});
        }
        if (request.path == "/download") {
            std::make_shared<download>()->start(it->start_answer(std::move(head), download_bytes));
        } else {
            it->answer({.head = std::move(head), .body = std::string(lookup_bytes, 'x')});
        }
    }
};

class one_target final : public attempt_target {
public:
    explicit one_target(const std::string& address) : address_(address) {}
    [[nodiscard]] const std::string& upstream() const override { return address_; }
    [[nodiscard]] const std::string& address() const override { return address_; }
    bool may_send(const connection_info& /*it*/) override { return true; }
    void report_load(std::string_view /*header*/) override {}
    void finish(const attempt_result& /*it*/) override {}

private:
    const std::string& address_;
};

class one_router final : public attempt_router {
public:
    explicit one_router(std::string address) : address_(std::move(address)) {}
    void route(attempt_request /*it*/, on_target found, on_refusal /*refused*/) override {
        found(std::make_unique<one_target>(address_));
    }

private:
    const std::string address_;
};

class relay final : public http_handler {
public:
    relay(const std::shared_ptr<loop_group>& loops, const std::string& upstream)
        : router_(upstream), client_(make_upstream_client({.loops = loops, .connections_per_upstream = 64})),
          flow_({.id_prefix = "bench"}, router_, *client_, clock_) {}

    void handle(std::shared_ptr<http_exchange> it) override {
        auto path = it->request().path;
        const auto kind = path == "/download" ? request_class::download : request_class::lookup;
        flow_.run(
            {.exchange = std::move(it), .service = "s", .request_class = kind, .path = std::move(path)});
    }

private:
    one_router router_;
    std::unique_ptr<upstream_client> client_;
    steady_clock clock_;
    idempotent_flow flow_;
};

std::string serve(const std::shared_ptr<loop_group>& loops, http_handler& handler) {
    static std::unique_ptr<http_server> server;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_ASSIGN(server, start_http_server({.loops = loops}, handler));
            return server->address();
        },
        [](const std::string& reason) -> std::string { throw std::runtime_error(reason); },
        []() -> std::string { throw std::runtime_error("cannot start a server"); });
}

} // namespace

std::string serve_upstream(unsigned threads) {
    static upstream_handler handler;
    return serve(std::make_shared<loop_group>(threads), handler);
}

std::string serve_relay(unsigned threads, const std::string& upstream) {
    const auto loops = std::make_shared<loop_group>(threads);
    static relay handler(loops, upstream);
    return serve(loops, handler);
}

} // namespace berylcrank::bench
