#include "modules/berylcrank_config/berylcrank_config.h"
#include "modules/berylcrank_config/schema/json_writer.h"
#include "modules/berylcrank_core/random/random_source.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

namespace berylcrank {

namespace {

/** The faults of a text; empty if it is accepted. */
std::vector<load_error> faults_of(const auto& parse, std::string_view text) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::vector<load_error>> {
            BOOST_LEAF_CHECK(parse(text, "t.yaml"));
            return std::vector<load_error>{};
        },
        [](const load_errors& it) { return it.list; },
        [] { return std::vector<load_error>{{.message = "?"}}; });
}

std::vector<load_error> ticket_faults(std::string_view text) {
    return faults_of(parse_ticket, text);
}

ticket good_ticket(std::string_view text) {
    return boost::leaf::try_handle_all([&] { return parse_ticket(text, "t.yaml"); },
                                       [](const load_errors& it) {
                                           FAIL(to_string(it));
                                           return ticket{};
                                       },
                                       [] { return ticket{}; });
}

const std::string whole_ticket = R"(number: 7
author: Ana
services:
  - name: pedidos
    request_class: order
    retry_budget_percent: 12.5
failure_domains:
  - {name: bog-sur, region: bog}
upstreams:
  - name: w1
    service: pedidos
    failure_domain: bog-sur
    address: 10.0.0.1:80
removals:
  - {kind: failure_domain, name: bog-norte}
)";

const std::string whole_settings = R"(vm: e1
region: bog
failure_domain: bog-sur
http_address: 127.0.0.1:8080
rpc_address: "[::1]:8081"
platform: {log_address: 127.0.0.1:1, vm_list_address: 127.0.0.1:2}
)";

} // namespace

TEST_CASE("parse_ticket, all kinds of objects, reads them with defaults") {
    const auto it = good_ticket(whole_ticket);
    CHECK(it.number == 7);
    REQUIRE(it.services.size() == 1);
    CHECK(it.services[0].request_class == request_class::order);
    CHECK(it.services[0].retry_budget_percent == 12.5);
    CHECK(it.services[0].deadline == millis{2000});
    REQUIRE(it.upstreams.size() == 1);
    CHECK(it.upstreams[0].slots == 4);
    REQUIRE(it.removals.size() == 1);
    CHECK(it.removals[0] == object_key{object_kind::failure_domain, "bog-norte"});
}

// Guards against a written ticket that differs from the one read, which would count as other content.
TEST_CASE("ticket, written as JSON and read back, has the same digest") {
    const auto it = good_ticket(whole_ticket);
    CHECK(digest_of(good_ticket(to_json_text(it))) == digest_of(it));
}

// Guards against a digest that depends on the order of objects or misses a field.
TEST_CASE("digest_of, other order or other content, tells them apart") {
    auto it = good_ticket(whole_ticket);
    it.upstreams.push_back({.name = "w2", .service = "pedidos", .failure_domain = "bog-sur"});
    auto other = it;
    std::swap(other.upstreams[0], other.upstreams[1]);
    CHECK(digest_of(it) == digest_of(other));
    other.upstreams[0].draining = true;
    CHECK(digest_of(it) != digest_of(other));
    other = it;
    other.services[0].hedge_budget_percent = 1;
    CHECK(digest_of(it) != digest_of(other));
    other = it;
    other.note = "x";
    CHECK(digest_of(it) != digest_of(other));
}

// Guards against operators having to fix a file one error at a time, or without a line.
TEST_CASE("parse_ticket, many faults, reports each with its line") {
    const auto faults = ticket_faults(R"(number: 0
number: 3
colour: red
services:
  - name: Pedidos
    weight: 70000
    request_class: orders
    retry_budget_percent: .nan
    deadline_ms: "5"
  - request_class: lookup
upstreams: {}
)");
    std::vector<std::pair<int, std::string>> found;
    for (const auto& it : faults) {
        found.emplace_back(it.line, it.key);
        CHECK(it.file == "t.yaml");
        CHECK_FALSE(it.message.empty());
    }
    CHECK(found == std::vector<std::pair<int, std::string>>{{1, "number"},
                                                            {2, "number"},
                                                            {3, "colour"},
                                                            {5, "services[0].name"},
                                                            {6, "services[0].weight"},
                                                            {7, "services[0].request_class"},
                                                            {8, "services[0].retry_budget_percent"},
                                                            {9, "services[0].deadline_ms"},
                                                            {10, "services[1].name"},
                                                            {11, "upstreams"}});
    CHECK(to_string(faults[4]) ==
          "t.yaml:6: services[0].weight: value \"70000\": must be a whole number from 1 to 1000");
}

// Guards against numbers that are cut, wrapped or guessed.
TEST_CASE("parse_ticket, bad values, rejects each") {
    const auto with = [](std::string_view key, std::string_view value) {
        return "number: 1\nupstreams:\n  - {name: a, service: s, failure_domain: f, address: '1.2.3.4:5', " +
               std::string(key) + ": " + std::string(value) + "}\n";
    };
    CHECK(ticket_faults(with("slots", "7")).empty());
    for (const auto* value : {"0", "-1", "65536", "1e3", "0x10", "4.0", "'4'", "~", "[4]",
                              "18446744073709551617", "1 ", "+1", "010x"}) {
        CAPTURE(value);
        CHECK(ticket_faults(with("slots", value)).size() == (std::string_view(value) == "1 " ? 0 : 1));
    }
    for (const auto* value : {"yes", "True", "1", "'true'"}) {
        CAPTURE(value);
        CHECK(ticket_faults(with("draining", value)).size() == 1);
    }
    for (const auto* value :
         {"1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3:1", "host:1", "::1:5", "'[::1]'"}) {
        CAPTURE(value);
        auto text = with("slots", "1");
        text.replace(text.find("'1.2.3.4:5'"), 11, "\"" + std::string(value) + "\"");
        CHECK(ticket_faults(text).size() == 1);
    }
}

// Guards against a ticket whose effect depends on the order in which its parts are applied.
TEST_CASE("parse_ticket, object named twice or set and removed, is rejected") {
    CHECK(ticket_faults("number: 1\nfailure_domains: [{name: a, region: r}, {name: a, region: q}]").size() ==
          1);
    CHECK(
        ticket_faults("number: 1\nfailure_domains: [{name: a, region: r}]\nremovals: [{kind: failure_domain, "
                      "name: a}]")
            .size() == 1);
    CHECK(ticket_faults("number: 1").size() == 1);
}

TEST_CASE("parse_settings, required keys only, takes defaults") {
    CHECK(faults_of(parse_settings, whole_settings).empty());
    const auto faults = faults_of(parse_settings, "vm: e1\nplatform: {poll_ms: 5}\n");
    CHECK(faults.size() == 7);
}

// Guards against a parser that crashes, hangs or accepts nonsense on damaged files.
TEST_CASE("parse_ticket and parse_settings, damaged text, never crash") {
    const std::string alphabet = "{}[]:-,\n \t'\"&*!|>%@`#~?\\0129azAZ\x01\xff";
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        CAPTURE(seed);
        seeded_random random(seed);
        auto text = random.below(2) == 0 ? whole_ticket : whole_settings;
        for (auto n = random.below(6) + 1; n > 0; --n) {
            const auto at = random.below(text.size());
            switch (random.below(3)) {
            case 0:
                text[at] = alphabet[random.below(alphabet.size())];
                break;
            case 1:
                text.erase(at, random.below(20));
                break;
            default:
                text.insert(at, text.substr(random.below(text.size()), random.below(30)));
                break;
            }
            text += "\n";
        }
        faults_of(parse_settings, text);
        if (ticket_faults(text).empty()) {
            const auto it = good_ticket(text);
            CHECK(digest_of(good_ticket(to_json_text(it))) == digest_of(it));
        }
    }
}

// Guards against stack exhaustion and endless expansion.
TEST_CASE("parse_ticket, deep or self-referring text, is rejected") {
    CHECK_FALSE(ticket_faults(std::string(100000, '[')).empty());
    CHECK_FALSE(ticket_faults("number: 1\nservices: &a [*a]").empty());
    CHECK_FALSE(ticket_faults("").empty());
    CHECK_FALSE(ticket_faults("number: 1\n---\nnumber: 2").empty());
}

} // namespace berylcrank
