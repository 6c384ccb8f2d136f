#pragma once

#include "tests/support/child.h"
#include "tests/support/test_caller.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace berylcrank::testing {

/** A running worker stand-in of a platform deployment. */
struct platform_worker {
    std::string id;
    std::string service;
    std::string address;
    std::unique_ptr<child> process;
};

/** A running gateway node and its listen addresses. */
struct platform_node {
    std::string name;
    std::string front;
    std::string ready;
    std::string directory;
    std::string control;
    std::string settings_path;
    std::unique_ptr<child> process;
};

/** A deployment of gateways with stand-ins for the platform's store and workers, in separate processes on
    loopback. */
class platform_deployment {
public:
    /** Starts the store, publishes configuration version 1, and starts `nodes` gateways and `workers` workers
        per service. The services are "lookups" (route /l/, safe), "orders" (/o/, unsafe) and "files" (/f/,
        download). Waits until all gateways are ready. The gateways are spread over `failure_domains`.
        `settings` holds additional lines of the gateways' settings files, each with its line end.
        `first_config` replaces the configuration version 1 if it is not empty. */
    platform_deployment(int nodes, int workers, int failure_domains = 1, std::string settings = "",
                        const std::string& first_config = "");

    /** Writes a record of a topic. An empty value removes the key. */
    void put_record(const std::string& topic, const std::string& key, const std::string& value);

    /** Writes a record of the operators' topic. An empty value removes the key. */
    void put_operator_record(const std::string& key, const std::string& value);

    /** Writes the registration record of a worker. */
    void put_worker_record(const platform_worker& worker, const std::string& state, int sequence);

    /** Removes the registration record of a worker. */
    void remove_worker_record(const platform_worker& worker);

    /** Returns the configuration of a version in JSON. `extra` holds additional routes in JSON, each followed
        by a comma; `fields` holds additional fields of the configuration in the same way. */
    [[nodiscard]] static std::string config(int version, const std::string& extra = "",
                                            const std::string& fields = "");

    /** Sets the outage of the store: "none", "refuse", "silent" or "lost". */
    void set_store_outage(const std::string& outage);

    /** Takes a backup of the store. */
    void back_up_store();

    /** Restores the store from its backup, which starts a new epoch. */
    void restore_store();

    /** Returns the newest records of a topic as the store's response in JSON. */
    [[nodiscard]] std::string newest_records(const std::string& topic) const;

    /** Removes the history of a topic from the store. */
    void trim_topic(const std::string& topic);

    /** Returns the number of calls to the store so far. */
    [[nodiscard]] int store_call_count() const;

    /** Changes the behaviour of a worker, e.g. "mode=shed". */
    static void configure_worker(const platform_worker& worker, const std::string& settings);

    /** Starts worker `n` of a service and writes its registration. `n` must differ from those of the
        service's other workers, which are counted from 0. */
    void start_worker(const std::string& service, int n);

    /** Starts a worker whose process has ended again, under its id and at its address. Its registration stays
        that of the run before. */
    static void restart_worker(platform_worker& worker);

    /** Returns the method, target and header of a request as a worker has received it last; empty if no
        worker has received it. Workers remember their last 256 requests. */
    std::string received_header(const std::string& id);

    /** Returns how many times all workers together have started a request. */
    int execution_count(const std::string& id);

    /** Starts a gateway with a new name and free ports. Gateways are placed in the failure domains in turn;
       with more than one, each has a loopback address of its own. */
    platform_node& start_node();

    /** Kills the gateway with this index and removes it from `nodes`. */
    void stop_and_remove(std::size_t n);

    /** Sends a request with the given request id and a timeout of 1.5 s to a node. */
    static test_response request(const platform_node& node, const std::string& method,
                                 const std::string& path, const std::string& id,
                                 const std::string& body = "");

    /** Returns the gauge of this kind in a node's metrics, or -1 if it is missing. */
    static double level(const platform_node& node, const std::string& kind);

    /** Waits until a node has logged "ready" and its readiness check succeeds. */
    static void wait_ready(const platform_node& node);

    [[nodiscard]] std::vector<platform_node>& nodes() { return nodes_; }
    [[nodiscard]] std::vector<platform_worker>& workers() { return workers_; }

    /** Returns the workers of a service in the order of their start. */
    [[nodiscard]] std::vector<platform_worker*> workers_of(const std::string& service);

private:
    std::unique_ptr<child> store_;
    std::string store_address_;
    std::vector<platform_worker> workers_;
    std::vector<platform_node> nodes_;
    int failure_domains_;
    std::string settings_;
    int started_{0};
};

} // namespace berylcrank::testing
