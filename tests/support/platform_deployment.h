#pragma once

#include "tests/support/child.h"
#include "tests/support/test_caller.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace berylcrank::testing {

/** A worker stand-in of a platform deployment. */
struct platform_worker {
    std::string id;
    std::string service;
    std::string address;
    std::unique_ptr<child> process;
};

/** A gateway node of a platform deployment. */
struct platform_node {
    std::string name;
    std::string front;
    std::string ready;
    std::string directory;
    std::string control;
    std::string settings_path;
    std::unique_ptr<child> process;
};

/** A small deployment on the platform's stand-ins, as separate processes on loopback: store, workers,
 * gateways. */
class platform_deployment {
public:
    /** Starts the store, publishes version 1 and starts `nodes` gateways and, for each service, `workers`
       workers. Services: "lookups" (route /l/, safe), "orders" (/o/, unsafe), "files" (/f/, download). */
    platform_deployment(int nodes, int workers);

    /** Writes a record of the operators; an empty value drops the key. */
    void put_operator(const std::string& key, const std::string& value);

    /** Writes a worker's registration. */
    void put_worker(const platform_worker& it, const std::string& state, int sequence);
    void remove_worker(const platform_worker& it);

    /** The configuration of a version; `extra` are further routes in JSON, each followed by a comma. */
    [[nodiscard]] static std::string config(int version, const std::string& extra = "");

    /** Sets a fault of the store. */
    void store_fault(const std::string& outage);
    void forget_history(const std::string& topic);
    [[nodiscard]] int store_calls() const;

    /** Changes a worker's behaviour, e.g. "mode=shed". */
    static void behave(const platform_worker& it, const std::string& wish);

    /** How often workers began a request, over all of them. */
    int runs(const std::string& id);

    platform_node& start_node();
    void stop_and_remove(std::size_t n);

    /** Sends a request to a node with an id of its own. */
    static test_answer request(const platform_node& node, const std::string& method, const std::string& path,
                               const std::string& id, const std::string& body = "");

    /** Waits until a node says that it is ready. */
    static void wait_ready(const platform_node& it);

    [[nodiscard]] std::vector<platform_node>& nodes() { return nodes_; }
    [[nodiscard]] std::vector<platform_worker>& workers() { return workers_; }
    [[nodiscard]] std::vector<platform_worker*> workers_of(const std::string& service);

private:
    void start_worker(const std::string& service, int n);

    std::unique_ptr<child> store_;
    std::string store_address_;
    std::vector<platform_worker> workers_;
    std::vector<platform_node> nodes_;
    int started_{0};
};

} // namespace berylcrank::testing
