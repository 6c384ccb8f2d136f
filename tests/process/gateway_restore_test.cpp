#include "tests/support/platform_deployment.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

struct gateway_restore_fixture {
    platform_deployment subject{3, 2};

    int status(const platform_node& node, const std::string& path) {
        return platform_deployment::request(node, "GET", path, "id-" + std::to_string(++ids)).status;
    }

    bool all_respond(const std::string& path, int expected) {
        return std::all_of(subject.nodes().begin(), subject.nodes().end(),
                           [&](const auto& it) { return status(it, path) == expected; });
    }

    void wait_everywhere(const std::string& path, int expected) {
        wait_until(
            "all nodes respond to " + path, [&] { return all_respond(path, expected); }, 4000);
    }

    [[nodiscard]] bool all_report(const std::string& text) {
        return std::all_of(subject.nodes().begin(), subject.nodes().end(), [&](const auto& it) {
            return send({.address = it.control, .path = "/status"}).body.find(text) != std::string::npos;
        });
    }

    // Writes records whose offsets the restored store assigns again, and waits until a node has read them.
    void write_evacuations() {
        for (const auto* domain : {"south", "east", "west"}) {
            subject.put_operator_record(std::string("evacuate/") + domain, "{}");
        }
        subject.nodes()[0].process->wait_line("\"failure_domain\":\"west\"");
    }

    int ids{0};
};

std::string extra_route(const std::string& name) {
    return R"({"name":")" + name + R"(","path-prefix":"/)" + name +
           R"(/","kind":"safe","service":"lookups","max-attempts":1},)";
}

} // namespace

// Guards against nodes that ignore what a restored store assigns to offsets that they have already seen, that
// return to the configuration of the backup, or that refuse callers while the store goes back.
TEST_CASE_FIXTURE(gateway_restore_fixture,
                  "gateway, store is restored from a backup, keeps its version and follows the new records") {
    subject.back_up_store();
    subject.put_operator_record("config", platform_deployment::config(5, extra_route("five")));
    write_evacuations();
    const auto& moved = *subject.workers_of("lookups")[0];
    subject.put_worker_record(moved, "ready", 7);
    wait_everywhere("/five/a", 200);

    subject.restore_store();
    for (int n = 0; n < 20; ++n) {
        CHECK(all_respond("/five/a", 200));
        CHECK(all_respond("/l/a", 200));
    }
    subject.put_operator_record("config", platform_deployment::config(6, extra_route("six")));
    wait_everywhere("/six/a", 200);
    CHECK(all_report("\"store_epoch\":2"));
    subject.put_worker_record(moved, "draining", 8);
    subject.put_worker_record(*subject.workers_of("lookups")[1], "draining", 8);
    wait_everywhere("/l/a", 503);
}

// Guards against nodes that end with different versions because one of them started after the restore.
TEST_CASE_FIXTURE(gateway_restore_fixture,
                  "gateway, starts after the store was restored, ends with the version of the other nodes") {
    subject.back_up_store();
    subject.put_operator_record("config", platform_deployment::config(5, extra_route("five")));
    wait_everywhere("/five/a", 200);
    write_evacuations();
    subject.restore_store();
    platform_deployment::wait_ready(subject.start_node());
    subject.put_operator_record("config", platform_deployment::config(5, extra_route("five")));
    wait_everywhere("/five/a", 200);
    subject.put_operator_record("config", platform_deployment::config(6, extra_route("six")));
    wait_everywhere("/six/a", 200);
    wait_until(
        "all nodes report the same version", [&] { return all_report("\"version\":6,"); }, 4000);
}

// Guards against failure domains that come back into use because the backup lacks their evacuation.
TEST_CASE_FIXTURE(
    gateway_restore_fixture,
    "gateway, restored store lacks an evacuation, keeps it until the operator has written again") {
    subject.back_up_store();
    subject.put_operator_record("evacuate/north", "{}");
    wait_everywhere("/l/a", 503);
    subject.restore_store();
    wait_until(
        "all nodes have read the restored store", [&] { return all_report("\"store_epoch\":2"); }, 4000);
    CHECK(all_respond("/l/a", 503));
    subject.put_operator_record("evacuate/north", "{}");
    subject.put_operator_record("evacuate/north", "");
    wait_everywhere("/l/a", 200);
}

// Guards against a node that is missing in the restored list of nodes and does not enter itself again.
TEST_CASE_FIXTURE(gateway_restore_fixture,
                  "gateway, restored store does not list a node, the node announces itself again") {
    subject.back_up_store();
    const auto name = "\"" + subject.start_node().name + "\"";
    const auto is_listed = [&] {
        return subject.newest_records("keyed.nodes").find(name) != std::string::npos;
    };
    wait_until("the store lists the node", is_listed);
    subject.restore_store();
    CHECK_FALSE(is_listed());
    wait_until("the store lists the node again", is_listed);
}

} // namespace berylcrank::testing
