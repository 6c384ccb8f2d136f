#include "tests/support/platform_deployment.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace berylcrank::testing {

namespace {

// Returns free ports for a node, which needs them in its settings before it starts. To keep them free until
// then, they are below the kernel's ephemeral port range, and concurrent test processes use different slices.
std::vector<int> free_ports(const std::string& ip, int n) {
    constexpr int first_port = 11000;
    constexpr int slice_size = 60;
    constexpr int slices = 350;
    static int next = 0;
    const int slice = first_port + getpid() % slices * slice_size;
    boost::asio::io_context io;
    std::vector<int> ports;
    for (int tried = 0; tried < slice_size && static_cast<int>(ports.size()) < n; ++tried) {
        const int port = slice + next++ % slice_size;
        boost::asio::ip::tcp::acceptor probe(io, boost::asio::ip::tcp::v4());
        boost::system::error_code ec;
        probe.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
        probe.bind({boost::asio::ip::make_address(ip), static_cast<std::uint16_t>(port)}, ec);
        if (!ec) {
            ports.push_back(port);
        }
    }
    REQUIRE(static_cast<int>(ports.size()) == n);
    return ports;
}

test_response post(const std::string& address, const std::string& path, const std::string& body = "") {
    return send({.address = address, .method = "POST", .path = path, .body = body});
}

std::string route(const std::string& name, const std::string& prefix, const std::string& kind, int priority) {
    return absl::StrCat(R"({"name":")", name, R"(","path-prefix":")", prefix, R"(","kind":")", kind,
                        R"(","timeout-s":2,"target-latency-s":0.5,"max-attempts":2,"priority":)", priority,
                        R"(,"service":")", name, R"("},)");
}

std::string service(const std::string& name) {
    return absl::StrCat(R"({"name":")", name,
                        R"(","health-path":"/healthz","max-conns":200,"warmup-s":3,"warmup-per-s":5})");
}

} // namespace

platform_deployment::platform_deployment(int nodes, int workers, int failure_domains, std::string settings,
                                         const std::string& first_config)
    : failure_domains_(failure_domains), settings_(std::move(settings)) {
    store_ = std::make_unique<child>(std::vector<std::string>{program_path("standin_platform_store")});
    store_address_ = store_->wait_listening().at("http");
    put_operator_record("config", first_config.empty() ? config(1) : first_config);
    for (const auto* service : {"lookups", "orders", "files"}) {
        for (int n = 0; n < workers; ++n) {
            start_worker(service, n);
        }
    }
    for (int n = 0; n < nodes; ++n) {
        start_node();
    }
    for (const auto& node : nodes_) {
        wait_ready(node);
    }
}

std::string platform_deployment::config(int version, const std::string& extra, const std::string& fields) {
    auto routes = absl::StrCat(extra, route("lookups", "/l/", "safe", 2), route("orders", "/o/", "unsafe", 1),
                               route("files", "/f/", "download", 2));
    routes.pop_back(); // The last comma.
    return absl::StrCat(
        R"({"version":")", absl::Hex(version, absl::kZeroPad8), R"(",)", fields, R"("services":[)",
        service("lookups"), ",", service("orders"), ",", service("files"),
        R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-s":3,)",
        R"("idle-timeout-s":15},"virtual-hosts":[{"host":"shop.example","paths":[)", routes, "]}]}");
}

void platform_deployment::put_record(const std::string& topic, const std::string& key,
                                     const std::string& value) {
    REQUIRE(post(store_address_, "/put?topic=" + topic + "&key=" + key, value).status == 200);
}

void platform_deployment::put_operator_record(const std::string& key, const std::string& value) {
    REQUIRE(post(store_address_, "/put?topic=keyed.op&key=" + key, value).status == 200);
}

void platform_deployment::put_worker_record(const platform_worker& worker, const std::string& state,
                                            int sequence) {
    const auto value =
        absl::StrCat(R"({"service":")", worker.service, R"(","address":")", worker.address,
                     R"(","zone":"north","version":"v1","slots":4,"state":")", state,
                     R"(","warmup-left-s":0,"sequence":)", sequence, R"(,"born":1700000000000})");
    REQUIRE(post(store_address_, "/put?topic=keyed.servers&key=" + worker.id, value).status == 200);
}

void platform_deployment::remove_worker_record(const platform_worker& worker) {
    REQUIRE(post(store_address_, "/put?topic=keyed.servers&key=" + worker.id).status == 200);
}

void platform_deployment::set_store_outage(const std::string& outage) {
    REQUIRE(post(store_address_, "/control?outage=" + outage).status == 200);
}

void platform_deployment::back_up_store() {
    REQUIRE(post(store_address_, "/control?backup=take").status == 200);
}

void platform_deployment::restore_store() {
    REQUIRE(post(store_address_, "/control?backup=restore").status == 200);
}

std::string platform_deployment::newest_records(const std::string& topic) const {
    return send({.address = store_address_, .path = "/api/log-newest?part=0&topic=" + topic}).body;
}

void platform_deployment::trim_topic(const std::string& topic) {
    REQUIRE(post(store_address_, "/control?trim=" + topic).status == 200);
}

int platform_deployment::store_call_count() const {
    return std::stoi(send({.address = store_address_, .path = "/calls"}).body);
}

void platform_deployment::configure_worker(const platform_worker& worker, const std::string& settings) {
    REQUIRE(post(worker.address, "/control?" + settings).status == 200);
}

void platform_deployment::restart_worker(platform_worker& worker) {
    worker.process = std::make_unique<child>(
        std::vector<std::string>{program_path("standin_platform_worker"), "--id", worker.id, "--body-bytes",
                                 "100", "--port", worker.address.substr(worker.address.find(':') + 1)});
    REQUIRE(worker.process->wait_listening().at("http") == worker.address);
}

std::string platform_deployment::received_header(const std::string& id) {
    std::string result;
    for (const auto& worker : workers_) {
        const auto text = send({.address = worker.address, .path = "/received-headers"}).body;
        for (const absl::string_view part : absl::StrSplit(text, "\n\n")) {
            if (absl::StrContains(absl::StrCat(part, "\n"), absl::StrCat("\nRequest-Id: ", id, "\n"))) {
                result = std::string(part);
            }
        }
    }
    return result;
}

int platform_deployment::execution_count(const std::string& id) {
    int n = 0;
    for (const auto& worker : workers_) {
        const auto list = send({.address = worker.address, .path = "/runs"}).body;
        for (const absl::string_view line : absl::StrSplit(list, '\n', absl::SkipEmpty())) {
            const std::pair<std::string, std::string> pair = absl::StrSplit(line, ' ');
            n += pair.first == id ? std::stoi(pair.second) : 0;
        }
    }
    return n;
}

void platform_deployment::start_worker(const std::string& service, int n) {
    platform_worker worker{.id = absl::StrCat("i-", service, n), .service = service};
    worker.process = std::make_unique<child>(std::vector<std::string>{program_path("standin_platform_worker"),
                                                                      "--id", worker.id, "--body-bytes",
                                                                      service == "files" ? "400000" : "100"});
    worker.address = worker.process->wait_listening().at("http");
    put_worker_record(worker, "ready", 1);
    workers_.push_back(std::move(worker));
}

platform_node& platform_deployment::start_node() {
    const int number = ++started_;
    const auto ip = failure_domains_ == 1 ? std::string("127.0.0.1") : absl::StrCat("127.0.1.", number);
    const auto ports = free_ports(ip, 5);
    const auto at = [&](std::size_t n) { return absl::StrCat(ip, ":", ports[n]); };
    const int domain = number % failure_domains_;
    const auto zone = domain == 0 ? std::string("north") : absl::StrCat("north-", domain);
    platform_node node{.name = absl::StrCat("front-", number),
                       .front = at(0),
                       .ready = at(1),
                       .directory = at(2),
                       .control = at(3)};
    node.settings_path = std::filesystem::temp_directory_path() /
                         absl::StrCat("berylcrank-", getpid(), "-", node.name, ".conf");
    std::ofstream(node.settings_path)
        << "node-name=" << node.name << "\nip=" << ip << "\nzone=" << zone << "\ninternal-ports=" << ports[4]
        << "," << ports[4] << "\nlisten.front=" << node.front << "\nlisten.ready=" << node.ready
        << "\nlisten.directory=" << node.directory << "\nlisten.control=" << node.control
        << "\nplatform.address=" << store_address_
        << "\nbounds=grace-s=6,retry-budget-ratio=0.2,retry-budget-burst=60,"
           "warmup-factor=1.5,warmup-slack=5\n"
        << settings_;
    node.process = std::make_unique<child>(
        std::vector<std::string>{program_path("berylcrank"), "gateway", "--settings", node.settings_path});
    nodes_.push_back(std::move(node));
    return nodes_.back();
}

void platform_deployment::stop_and_remove(std::size_t n) {
    nodes_.erase(nodes_.begin() + static_cast<std::ptrdiff_t>(n));
}

test_response platform_deployment::request(const platform_node& node, const std::string& method,
                                           const std::string& path, const std::string& id,
                                           const std::string& body) {
    return send({.address = node.front,
                 .method = method,
                 .path = path,
                 .headers = {{"Host", "shop.example"}, {"Request-Id", id}, {"Request-Timeout-Ms", "1500"}},
                 .body = body});
}

double platform_deployment::level(const platform_node& node, const std::string& kind) {
    const auto text = send({.address = node.control, .path = "/metrics"}).body;
    const auto at = text.find("kind=\"" + kind + "\"} ");
    return at == std::string::npos ? -1 : std::stod(text.substr(text.find(' ', at)));
}

void platform_deployment::wait_ready(const platform_node& node) {
    constexpr int ready_timeout_ms = 2000;                 // After the node has logged that it is ready.
    node.process->wait_line("\"event\":\"ready\"", 20000); // A failure prints the node's log.
    wait_until(
        node.name + " is ready",
        [&] {
            const auto response = send({.address = node.ready, .path = "/api/readyz"});
            return response.is_complete && response.status == 200;
        },
        ready_timeout_ms);
}

std::vector<platform_worker*> platform_deployment::workers_of(const std::string& service) {
    std::vector<platform_worker*> result;
    for (auto& worker : workers_) {
        if (worker.service == service) {
            result.push_back(&worker);
        }
    }
    return result;
}

} // namespace berylcrank::testing
