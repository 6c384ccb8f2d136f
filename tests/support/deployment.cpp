#include "tests/support/deployment.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace berylcrank::testing {

namespace {

std::string port_of(const std::string& address) {
    return address.substr(address.rfind(':') + 1);
}

std::string unique_file_name(const std::string& base) {
    static std::atomic<int> next{0};
    return base + "-" + std::to_string(next++) + ".yaml";
}

} // namespace

deployment::deployment(deployment_spec spec) : spec_(std::move(spec)) {
    start_platform();
    start_upstreams();
    for (int n = 0; n < spec_.nodes; ++n) {
        const auto& domain = spec_.failure_domains[n % spec_.failure_domains.size()];
        launch_node("vm-" + std::to_string(n + 1), domain);
    }
    update_vm_list();
    if (const int ec = publish(initial_ticket()); ec != 0) {
        throw std::runtime_error("ticket 1 was not published, exit code " + std::to_string(ec));
    }
    wait_in_force(1);
    wait_ready();
}

void deployment::wait_ready() {
    for (const auto& node : nodes_) {
        wait_until(node.vm + " is ready and sees all nodes as alive", [&] {
            return send({.address = node.http_address, .path = "/ready"}).status == 200 &&
                   live_node_count(node) == nodes_.size();
        });
    }
}

std::size_t deployment::live_node_count(const running_node& node) {
    const auto json = nlohmann::json::parse(get(node.http_address, "/status"));
    return static_cast<std::size_t>(std::ranges::count_if(json.at("peers"), [](const nlohmann::json& peer) {
        return peer.at("incarnation") != "0000000000000000" && peer.at("state") == "alive";
    }));
}

void deployment::start_platform() {
    std::vector<std::string> arguments{program_path("standin_log"), "--port", "0"};
    arguments.insert(arguments.end(), spec_.log_options.begin(), spec_.log_options.end());
    log_ = std::make_unique<child>(arguments);
    log_address_ = log_->wait_listening().at("http");
    vm_list_ =
        std::make_unique<child>(std::vector<std::string>{program_path("standin_vm_list"), "--port", "0"});
    vm_list_address_ = vm_list_->wait_listening().at("http");
}

void deployment::start_upstreams() {
    for (const auto& service : spec_.services) {
        for (int n = 0; n < service.workers; ++n) {
            upstreams_.push_back({.name = service.name + "-" + std::to_string(n + 1),
                                  .service = service.name,
                                  .failure_domain = spec_.failure_domains[n % spec_.failure_domains.size()],
                                  .slots = service.slots,
                                  .options = service.upstream_options});
        }
    }
    for (auto& upstream : upstreams_) {
        launch(upstream, 0);
    }
}

void deployment::launch(running_upstream& upstream, int port) {
    std::vector<std::string> arguments{program_path("standin_upstream"), "--port", std::to_string(port),
                                       "--slots", std::to_string(upstream.slots)};
    arguments.insert(arguments.end(), upstream.options.begin(), upstream.options.end());
    upstream.process = std::make_unique<child>(arguments);
    upstream.address = upstream.process->wait_listening().at("http");
}

running_upstream& deployment::restart_upstream(const std::string& name) {
    auto& restarted = upstream(name);
    const int port = std::stoi(port_of(restarted.address));
    restarted.process.reset();
    launch(restarted, port);
    return restarted;
}

running_node& deployment::launch_node(const std::string& vm, const std::string& failure_domain) {
    const auto file = temporary_file(unique_file_name(vm), settings_yaml(vm, failure_domain));
    auto process = std::make_unique<child>(
        std::vector<std::string>{program_path("berylcrank"), "node", "--settings", file});
    auto listening = process->wait_listening();
    std::erase_if(nodes_, [&](const running_node& node) { return node.vm == vm; });
    nodes_.push_back({.vm = vm,
                      .failure_domain = failure_domain,
                      .http_address = listening.at("http"),
                      .rpc_address = listening.at("rpc"),
                      .process = std::move(process)});
    return nodes_.back();
}

running_node& deployment::start_node(const std::string& vm, const std::string& failure_domain) {
    auto& node = launch_node(vm, failure_domain);
    update_vm_list();
    wait_until(vm + " is ready",
               [&] { return send({.address = node.http_address, .path = "/ready"}).status == 200; });
    return node;
}

std::string deployment::settings_yaml(const std::string& vm, const std::string& failure_domain) const {
    return "vm: " + vm + "\nregion: " + spec_.region + "\nfailure_domain: " + failure_domain +
           "\nhttp_address: 127.0.0.1:0\nrpc_address: 127.0.0.1:0\nplatform:\n  log_address: " +
           log_address_ + "\n  vm_list_address: " + vm_list_address_ + "\n" + spec_.extra_settings;
}

std::string deployment::initial_ticket() const {
    std::string text = "number: 1\nauthor: test\nfailure_domains:\n";
    for (const auto& domain : spec_.failure_domains) {
        text += "  - {name: " + domain + ", region: " + spec_.region + "}\n";
    }
    text += "services:\n";
    for (const auto& service : spec_.services) {
        text += "  - {name: " + service.name + ", request_class: " + service.request_class;
        text += (service.extra_yaml.empty() ? "" : ", " + service.extra_yaml) + "}\n";
    }
    text += "upstreams:\n";
    for (const auto& upstream : upstreams_) {
        text += "  - {name: " + upstream.name + ", service: " + upstream.service +
                ", failure_domain: " + upstream.failure_domain + ", address: \"" + upstream.address +
                "\", slots: " + std::to_string(upstream.slots) + "}\n";
    }
    return text;
}

std::string deployment::domain_ticket(std::uint64_t number, const std::string& failure_domain,
                                      bool in_use) const {
    return "number: " + std::to_string(number) + "\nfailure_domains:\n  - {name: " + failure_domain +
           ", region: " + spec_.region + ", in_use: " + (in_use ? "true" : "false") + "}\n";
}

int deployment::publish(const std::string& ticket_yaml) {
    const auto file = temporary_file(unique_file_name("ticket"), ticket_yaml);
    child command({program_path("berylcrank"), "publish", "--log", log_address_, "--ticket", file});
    return command.wait_exit();
}

void deployment::control(const std::string& address, const std::string& json) {
    const auto response = send({.address = address, .method = "POST", .path = "/control", .body = json});
    if (response.status != 200) {
        throw std::runtime_error("control of " + address + " failed: " + response.body);
    }
}

std::string deployment::get(const std::string& address, const std::string& path) {
    const auto response = send({.address = address, .path = path});
    if (!response.is_complete || response.status != 200) {
        throw std::runtime_error(address + path + ": status " + std::to_string(response.status));
    }
    return response.body;
}

void deployment::update_vm_list() {
    auto list = nlohmann::json::array();
    for (const auto& node : nodes_) {
        list.push_back({{"vm", node.vm},
                        {"failure_domain", node.failure_domain},
                        {"region", spec_.region},
                        {"http_address", node.http_address},
                        {"rpc_address", node.rpc_address},
                        {"leaving", false}});
    }
    control(vm_list_address_, nlohmann::json{{"vms", list}}.dump());
}

int deployment::executions(const std::string& id) {
    int n = 0;
    for (const auto& upstream : upstreams_) {
        const auto json = nlohmann::json::parse(get(upstream.address, "/executions"));
        n += json.at("by_id").value(id, 0);
    }
    return n;
}

std::map<std::string, int> deployment::executions_at(const std::string& name) {
    const auto json = nlohmann::json::parse(get(upstream(name).address, "/executions"));
    return json.at("by_id").get<std::map<std::string, int>>();
}

long deployment::counter(const std::string& address, const std::string& name) {
    return nlohmann::json::parse(get(address, "/executions?brief")).at(name).get<long>();
}

long deployment::counter_total(const std::string& name) {
    long n = 0;
    for (const auto& upstream : upstreams_) {
        n += counter(upstream.address, name);
    }
    return n;
}

running_upstream& deployment::upstream(const std::string& name) {
    const auto it =
        std::ranges::find_if(upstreams_, [&](const running_upstream& u) { return u.name == name; });
    if (it == upstreams_.end()) {
        throw std::runtime_error("no upstream " + name);
    }
    return *it;
}

void deployment::wait_in_force(std::uint64_t ticket, int timeout_ms) {
    for (const auto& node : nodes_) {
        wait_until(
            "ticket " + std::to_string(ticket) + " on " + node.vm,
            [&] {
                const auto json = nlohmann::json::parse(get(node.http_address, "/status"));
                return std::ranges::any_of(json.at("tickets"), [&](const nlohmann::json& outcome) {
                    return outcome.at("number") == ticket && outcome.at("outcome") == "accepted";
                });
            },
            timeout_ms);
    }
}

} // namespace berylcrank::testing
