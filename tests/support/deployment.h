#pragma once

#include "tests/support/child.h"
#include "tests/support/test_caller.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace berylcrank::testing {

/** A service of a deployment under test. */
struct service_shape {
    std::string name;
    std::string request_class{"lookup"};
    int workers{3};
    int slots{4};
    std::string more_yaml; ///< Further fields of the service in the ticket, e.g. "cold_concurrency: 2".
    std::vector<std::string> upstream_options; ///< Further options of the upstream stand-ins.
};

/** What a deployment under test consists of. */
struct deployment_shape {
    std::string region{"bog"};
    std::vector<std::string> failure_domains{"bog-norte", "bog-centro", "bog-sur"};
    int nodes{3};
    std::vector<service_shape> services;
    std::string more_settings; ///< Appended to each node's settings, e.g. "orders:\n  table_entries: 8\n".
    std::vector<std::string> log_options; ///< Further options of the log stand-in.
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

/** A whole deployment as separate processes on loopback: log, VM list, upstreams, nodes, ticket 1 in force.
 */
class deployment {
public:
    explicit deployment(deployment_shape it);

    /** Runs `berylcrank publish` with a ticket in YAML; returns its exit code. */
    int publish(const std::string& ticket_yaml);

    /** A ticket that sets a failure domain in or out of use. */
    [[nodiscard]] std::string domain_ticket(std::uint64_t number, const std::string& failure_domain,
                                            bool in_use) const;

    /** Starts one more node on a vm (an earlier one of this vm must have ended) and waits until it serves. */
    running_node& start_node(const std::string& vm, const std::string& failure_domain);

    /** Starts a node without waiting until it is ready. */
    running_node& launch_node(const std::string& vm, const std::string& failure_domain);

    /** Kills an upstream and starts it again at the same address; returns it. */
    running_upstream& restart_upstream(const std::string& name);

    /** Sends JSON to `/control` of a stand-in; fails the test unless it is taken. */
    static void control(const std::string& address, const std::string& json);

    /** The answer of `GET path` at an address; fails the test unless its status is 200. */
    static std::string get(const std::string& address, const std::string& path);

    /** Writes the present nodes to the VM list. */
    void update_vm_list();

    /** Number of executions of an order over all upstreams, by its id. */
    int executions(const std::string& id);

    /** Executions of one upstream, by order id. */
    std::map<std::string, int> executions_at(const std::string& name);

    /** One counter of `GET /executions` of an upstream. */
    static long counter(const std::string& address, const std::string& name);

    /** Sum over all upstreams of a counter of `GET /executions`. */
    long total(const std::string& name);

    [[nodiscard]] std::vector<running_node>& nodes() { return nodes_; }
    [[nodiscard]] std::vector<running_upstream>& upstreams() { return upstreams_; }
    [[nodiscard]] running_node& node(std::size_t n) { return nodes_.at(n); }
    [[nodiscard]] running_upstream& upstream(const std::string& name);
    [[nodiscard]] const std::string& log_address() const { return log_address_; }
    [[nodiscard]] const std::string& vm_list_address() const { return vm_list_address_; }

    /** Waits until each node is ready and knows the runs of all others. */
    void wait_ready();

    /** Number of alive runs that a node knows, itself included. */
    static std::size_t known_runs(const running_node& node);

    /** Waits until a ticket is in force on all nodes. */
    void wait_in_force(std::uint64_t ticket, int limit_ms = 20000);

private:
    void start_platform();
    void start_upstreams();
    void launch(running_upstream& it, int port);
    [[nodiscard]] std::string first_ticket() const;
    [[nodiscard]] std::string settings_yaml(const std::string& vm, const std::string& failure_domain) const;

    deployment_shape shape_;
    std::unique_ptr<child> log_;
    std::unique_ptr<child> vm_list_;
    std::string log_address_;
    std::string vm_list_address_;
    std::vector<running_upstream> upstreams_;
    std::vector<running_node> nodes_;
};

} // namespace berylcrank::testing
