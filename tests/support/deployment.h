#pragma once

#include "tests/support/child.h"
#include "tests/support/test_caller.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace berylcrank::testing {

/** Describes a service of a test deployment. */
struct service_spec {
    std::string name;
    std::string request_class{"lookup"};
    int workers{3};
    int slots{4};
    std::string extra_yaml; ///< Additional fields of the service in the ticket, e.g. "cold_concurrency: 2".
    std::vector<std::string> upstream_options; ///< Additional arguments of the upstream stand-ins.
};

/** Describes the processes and settings of a test deployment. */
struct deployment_spec {
    std::string region{"bog"};
    std::vector<std::string> failure_domains{"bog-norte", "bog-centro", "bog-sur"};
    int nodes{3};
    std::vector<service_spec> services;
    std::string extra_settings; ///< Appended to each node's settings, e.g. "orders:\n  table_entries: 8\n".
    std::vector<std::string> log_options; ///< Additional arguments of the log stand-in.
};

/** An upstream stand-in of a deployment. */
struct running_upstream {
    std::string name;
    std::string service;
    std::string failure_domain;
    std::string address;
    int slots{4};
    std::vector<std::string> options;
    std::unique_ptr<child> process;
};

/** A node of a deployment. */
struct running_node {
    std::string vm;
    std::string failure_domain;
    std::string http_address;
    std::string rpc_address;
    std::unique_ptr<child> process;
};

/** A complete deployment in separate processes on loopback: log, VM list, upstreams and nodes.

    Failures are reported as `std::runtime_error`, which fails the test.
*/
class deployment {
public:
    /** Starts all processes, publishes ticket 1 and waits until all nodes are ready. */
    explicit deployment(deployment_spec spec);

    /** Publishes a YAML ticket with `berylcrank publish` and returns the exit code. */
    int publish(const std::string& ticket_yaml);

    /** Returns a YAML ticket that takes a failure domain into or out of use. */
    [[nodiscard]] std::string domain_ticket(std::uint64_t number, const std::string& failure_domain,
                                            bool in_use) const;

    /** Starts a node on a vm and waits until it is ready. A previous node on this vm must have exited. */
    running_node& start_node(const std::string& vm, const std::string& failure_domain);

    /** Starts a node on a vm without waiting until it is ready. */
    running_node& launch_node(const std::string& vm, const std::string& failure_domain);

    /** Kills an upstream and restarts it at the same address. */
    running_upstream& restart_upstream(const std::string& name);

    /** Sends JSON to `/control` of a stand-in. Throws unless the stand-in accepts it. */
    static void control(const std::string& address, const std::string& json);

    /** Returns the response body of `GET path` at an address. Throws unless the status is 200. */
    static std::string get(const std::string& address, const std::string& path);

    /** Writes the current nodes to the VM list. */
    void update_vm_list();

    /** Returns how many times all upstreams together have executed an order. */
    int executions(const std::string& id);

    /** Returns the executions of one upstream by order id. */
    std::map<std::string, int> executions_at(const std::string& name);

    /** Returns a counter of `GET /executions` of an upstream. */
    static long counter(const std::string& address, const std::string& name);

    /** Returns the sum of a counter of `GET /executions` over all upstreams. */
    long counter_total(const std::string& name);

    [[nodiscard]] std::vector<running_node>& nodes() { return nodes_; }
    [[nodiscard]] std::vector<running_upstream>& upstreams() { return upstreams_; }
    [[nodiscard]] running_node& node(std::size_t n) { return nodes_.at(n); }
    [[nodiscard]] running_upstream& upstream(const std::string& name);
    [[nodiscard]] const std::string& log_address() const { return log_address_; }
    [[nodiscard]] const std::string& vm_list_address() const { return vm_list_address_; }

    /** Waits until each node is ready and sees all nodes as alive with a known incarnation. */
    void wait_ready();

    /** Returns the number of nodes that a node sees as alive with a known incarnation, including itself. */
    static std::size_t live_node_count(const running_node& node);

    /** Waits until all nodes have accepted a ticket. Throws after `timeout_ms` for one node. */
    void wait_in_force(std::uint64_t ticket, int timeout_ms = 20000);

private:
    void start_platform();
    void start_upstreams();
    void launch(running_upstream& upstream, int port);
    [[nodiscard]] std::string initial_ticket() const;
    [[nodiscard]] std::string settings_yaml(const std::string& vm, const std::string& failure_domain) const;

    deployment_spec spec_;
    std::unique_ptr<child> log_;
    std::unique_ptr<child> vm_list_;
    std::string log_address_;
    std::string vm_list_address_;
    std::vector<running_upstream> upstreams_;
    std::vector<running_node> nodes_;
};

} // namespace berylcrank::testing
