#include "modules/berylcrank_report/berylcrank_report.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace berylcrank {

namespace {

instant at_seconds(std::int64_t seconds) {
    return instant{millis{seconds * 1000}};
}

std::string node_json(const std::string& vm, const service_burn& service, double uptime_seconds) {
    const nlohmann::json json{
        {"vm", vm},
        {"uptime_seconds", uptime_seconds},
        {"services", {{"pedidos", nlohmann::json::parse(write_service_burn(service))}}}};
    return json.dump();
}

struct burn_report_fixture {
    burn_report_fixture() {
        service.latency_objective_ms = 250;
        service.latency_objective_percent = 99;
        service.availability_objective_percent = 99.9;
        for (auto& it : service.windows) {
            it.add(burn_event::good, 970);
            it.add(burn_event::slow, 10);
            it.add(burn_event::refused, 20);
        }
    }

    service_burn service;
    burn_report subject;
};

} // namespace

// Guards against events that leave a window too late or too early.
TEST_CASE("burn_counter, event ages, leaves each window after its length") {
    burn_counter subject;
    subject.record(burn_event::failed, false, at_seconds(10));
    CHECK(subject.window(burn_window::five_minutes, at_seconds(309)).total() == 1);
    CHECK(subject.window(burn_window::five_minutes, at_seconds(316)).total() == 0);
    CHECK(subject.window(burn_window::one_hour, at_seconds(3600)).total() == 1);
    CHECK(subject.window(burn_window::one_hour, at_seconds(3671)).total() == 0);
    CHECK(subject.window(burn_window::three_days, at_seconds(259200)).total() == 1);
    CHECK(subject.window(burn_window::three_days, at_seconds(270000)).total() == 0);
    CHECK(subject.since_start().count(burn_event::failed) == 1);
}

TEST_CASE("burn_counter, long gap between events, reuses buckets without old counts") {
    burn_counter subject;
    for (int n = 0; n < 200; ++n) {
        subject.record(burn_event::good, n % 2 == 0, at_seconds(n * 7));
    }
    subject.record(burn_event::slow, false, at_seconds(400000));
    CHECK(subject.window(burn_window::five_minutes, at_seconds(400001)).total() == 1);
    CHECK(subject.window(burn_window::three_days, at_seconds(400001)).total() == 1);
    CHECK(subject.since_start().total() == 201);
    CHECK(subject.in_domain_change().total() == 100);
}

TEST_CASE_FIXTURE(burn_report_fixture, "burn_report, two nodes, adds counts and computes rates") {
    CHECK(subject.add_node(node_json("vm-1", service, 50)));
    CHECK(subject.add_node(node_json("vm-2", service, 20)));
    const auto& merged = subject.services().at("pedidos");
    CHECK(merged.windows[0].total() == 2000);
    CHECK(subject.shortest_uptime_seconds() == 20);
    const auto use = burn_report::compute_budget_use(merged);
    CHECK(use.availability[0].burn_rate == doctest::Approx(20));
    CHECK(use.latency[0].burn_rate == doctest::Approx(10.0 / 980 / 0.01));
    CHECK(use.availability_budget_left == doctest::Approx(-19));
    REQUIRE(use.alerts.size() == 4);
    CHECK(use.alerts[0] == "page: availability burns at least 14.4x over 1h and 5m");
}

// Guards against a malformed response that is counted in part.
TEST_CASE_FIXTURE(burn_report_fixture, "burn_report, malformed response, adds nothing") {
    const auto complete = node_json("vm-1", service, 50);
    for (const auto& text : {std::string("{"), complete.substr(0, complete.size() / 2), std::string("[]"),
                             std::string(R"({"vm":1,"uptime_seconds":"x","services":{}})")}) {
        CHECK_FALSE(subject.add_node(text));
        CHECK(subject.services().empty());
    }
}

TEST_CASE_FIXTURE(burn_report_fixture, "burn writers, service name with markup, is escaped") {
    CHECK(subject.add_node(R"({"vm":"a<b","uptime_seconds":1,"services":{"x<y":)" +
                           write_service_burn(service) + "}}"));
    CHECK(write_burn_html(subject).find("x<y") == std::string::npos);
    CHECK(write_burn_text(subject).find("ALERT page") != std::string::npos);
    CHECK(nlohmann::json::parse(write_burn_json(subject))["services"].contains("x<y"));
}

} // namespace berylcrank
