#include "platform/platform_adapter.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <optional>

namespace berylcrank {

namespace {

struct json_wire_format_fixture {
    json_wire_format subject;

    std::optional<upstream_entry> upstream(const std::string& text) {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<upstream_entry>> {
                BOOST_LEAF_AUTO(it, subject.read_upstream("i-1", text));
                return std::optional<upstream_entry>(it);
            },
            [] { return std::optional<upstream_entry>(); });
    }

    std::optional<deployment_config> config(const std::string& text) {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<deployment_config>> {
                BOOST_LEAF_AUTO(it, subject.read_config(text));
                return std::optional<deployment_config>(std::move(it));
            },
            [] { return std::optional<deployment_config>(); });
    }

    // Returns the reason why a configuration is invalid, or an empty string.
    std::string config_error(const std::string& text) {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::string> {
                BOOST_LEAF_CHECK(subject.read_config(text));
                return std::string();
            },
            [](const std::string& reason) { return reason; }, [] { return std::string("unknown"); });
    }
};

std::string with_tenants(const std::string& list) {
    return R"({"version":"00000001","services":[],"tenants":)" + list +
           R"(,"virtual-hosts":[{"host":"a","paths":[)"
           R"({"name":"r","path-prefix":"/r","kind":"safe","service":"s","public":true},)"
           R"({"name":"s","path-prefix":"/s","kind":"safe","service":"s","public":false},)"
           R"({"name":"t","path-prefix":"/t","kind":"safe","service":"s","public":"true"}]}]})";
}

const std::string valid_entry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,)"
    R"("state":"ready","warmup-left-s":1.5,"sequence":4,"born":1700000000123})";

std::string with_replaced(std::string text, const std::string& from, const std::string& to) {
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

// Guards against times in a wrong unit and fields whose type or value is not checked.
TEST_CASE_FIXTURE(json_wire_format_fixture,
                  "json_wire_format, registration of an upstream, is parsed with its units") {
    const auto it = upstream(valid_entry);
    REQUIRE(it);
    CHECK(it->id == "i-1");
    CHECK(it->cold_left == millis{1500});
    CHECK(it->slots == 6);
    CHECK(it->start_time_ms == 1700000000123);
    CHECK_FALSE(it->draining);
    CHECK(upstream(with_replaced(valid_entry, "ready", "draining"))->draining);
}

// Guards against sending requests to an upstream whose registration is malformed.
TEST_CASE_FIXTURE(json_wire_format_fixture,
                  "json_wire_format, registration with a missing or invalid field, is an error") {
    for (const auto* text : {"", "{", "[]", "7", "{}"}) {
        CHECK_FALSE(upstream(text));
    }
    CHECK_FALSE(upstream(with_replaced(valid_entry, R"("slots":6)", R"("slots":"6")")));
    CHECK_FALSE(upstream(with_replaced(valid_entry, R"("slots":6,)", "")));
    CHECK_FALSE(upstream(with_replaced(valid_entry, R"("ready")", R"("asleep")")));
    CHECK_FALSE(upstream(with_replaced(valid_entry, R"("10.0.0.1:80")", R"("nowhere")")));
    CHECK_FALSE(upstream(with_replaced(valid_entry, R"(1700000000123)", R"("today")")));
    CHECK_FALSE(upstream(with_replaced(valid_entry, R"("sequence":4)", R"("sequence":4.5)")));
}

// Guards against values that drive memory, loops or times out of range. Entries of other writers may hold
// any.
TEST_CASE_FIXTURE(json_wire_format_fixture,
                  "json_wire_format, registration with a value out of range, is an error") {
    for (const auto* slots : {"0", "-1", "1000000", "2147483648", "1e3", "1e999", "99999999999999999999"}) {
        CAPTURE(slots);
        CHECK_FALSE(upstream(with_replaced(valid_entry, R"("slots":6)", std::string(R"("slots":)") + slots)));
    }
    for (const auto* port : {"0", "-1", "65536", "80x", ""}) {
        CAPTURE(port);
        CHECK_FALSE(upstream(with_replaced(valid_entry, "10.0.0.1:80", std::string("10.0.0.1:") + port)));
    }
    for (const auto* sequence : {"-1", "9223372036854775807", "18446744073709551615"}) {
        CAPTURE(sequence);
        CHECK_FALSE(upstream(
            with_replaced(valid_entry, R"("sequence":4)", std::string(R"("sequence":)") + sequence)));
    }
    for (const auto* born : {"-1", "9223372036854775807", "1700000000123.5"}) {
        CAPTURE(born);
        CHECK_FALSE(upstream(with_replaced(valid_entry, "1700000000123", born)));
    }
    for (const auto* warm_up : {"-1", "1e8", "1e999"}) {
        CAPTURE(warm_up);
        CHECK_FALSE(upstream(with_replaced(valid_entry, "1.5", warm_up)));
    }
    CHECK_FALSE(upstream(with_replaced(valid_entry, R"("s")", R"("")")));
    CHECK_FALSE(upstream(with_replaced(valid_entry, R"("z")", '"' + std::string(1000000, 'z') + '"')));
    CHECK_FALSE(upstream(std::string(10000, '[')));
    CHECK_FALSE(upstream(R"({"service":)" + std::string(10000, '{')));
}

// Guards against load figures that poison averages or counters.
TEST_CASE_FIXTURE(json_wire_format_fixture, "json_wire_format, load header out of range, is ignored") {
    for (const auto* text : {"-1,0,4", "1,-5,4", "1,0,70000", "1,0,4,nan", "1,0,4,inf", "1,0,4,-3",
                             "1,0,4,1e300", "99999999999,0,4"}) {
        CAPTURE(text);
        CHECK_FALSE(subject.read_load(text));
    }
}

// Guards against a pause that is negative, endless or misread.
TEST_CASE_FIXTURE(json_wire_format_fixture,
                  "json_wire_format, retry header, is read in seconds and bounded") {
    CHECK(subject.read_retry_after("1.25") == millis{1250});
    CHECK(subject.read_retry_after("0") == millis{});
    CHECK(subject.read_retry_after("-3") == millis{});
    CHECK(subject.read_retry_after("1e30") == wire_format::max_retry_after);
    CHECK(subject.read_retry_after("inf") == wire_format::max_retry_after);
    for (const auto* text : {"", "nan", "soon", "Sat, 05 Dec 2026 07:28:00 GMT"}) {
        CAPTURE(text);
        CHECK_FALSE(subject.read_retry_after(text));
    }
    CHECK(subject.read_leaving("1"));
    CHECK_FALSE(subject.read_leaving("0"));
}

// Guards against routes, traffic splits or limits that are assigned to the wrong fields.
TEST_CASE_FIXTURE(json_wire_format_fixture, "json_wire_format, configuration, is parsed completely") {
    const auto it = config(
        R"({"version":"0000001f","services":[{"name":"s","health-path":"/h","max-conns":9,"warmup-s":3.0,)"
        R"("warmup-per-s":5.1}],"limits":{"max-header-bytes":100,"max-body-bytes":200,"header-timeout-s":3,)"
        R"("idle-timeout-s":15},"virtual-hosts":[{"host":"a.example","paths":[{"name":"r","path-prefix":"/p/",)"
        R"("kind":"unsafe","timeout-s":0.8,"target-latency-s":0.25,"priority":1,"max-attempts":2,)"
        R"("traffic-split":[{"service":"s","weight":90},{"service":"t","weight":10}]}]}]})");
    REQUIRE(it);
    CHECK(it->version == 31);
    const auto& route = it->routes.at(0);
    CHECK(route.kind == request_kind::unsafe);
    CHECK(route.timeout == millis{800});
    CHECK(route.latency_target == millis{250});
    CHECK(route.parts.at(1).weight == 10);
    CHECK(it->services.at(0).warm_up_per_second == doctest::Approx(5.1));
    CHECK(it->limits.idle_timeout == millis{15000});
}

// Guards against a partly applied configuration.
TEST_CASE_FIXTURE(json_wire_format_fixture,
                  "json_wire_format, configuration with one invalid part, is an error") {
    CHECK_FALSE(config(R"({"version":"xyz","services":[],"virtual-hosts":[]})"));
    CHECK_FALSE(config(R"({"version":"00000001","services":[]})"));
    CHECK_FALSE(
        config(R"({"version":"00000001","services":[],"virtual-hosts":[{"host":"a","paths":[{"name":"r",)"
               R"("path-prefix":"/","kind":"maybe","service":"s"}]}]})"));
}

// Guards against accounts whose keys or limits are assigned to the wrong fields, and against accounts that
// are required although none are configured.
TEST_CASE_FIXTURE(json_wire_format_fixture, "json_wire_format, accounts, are parsed with optional fields") {
    const auto it = config(with_tenants(
        R"([{"name":"a b","api-keys":["k-1","k-2","k-1"],"priority":3,"rate-per-s":2.5,"burst":7},)"
        R"({"name":"c","api-keys":[]}])"));
    REQUIRE(it);
    REQUIRE(it->accounts);
    const auto& full = it->accounts->at(0);
    CHECK(full.name == "a b");
    CHECK(full.keys == std::vector<std::string>{"k-1", "k-2", "k-1"});
    CHECK(full.priority == 3);
    CHECK(full.rate_per_second == doctest::Approx(2.5));
    CHECK(full.burst == doctest::Approx(7));
    const auto& bare = it->accounts->at(1);
    CHECK(bare.keys.empty());
    CHECK_FALSE(bare.priority);
    CHECK_FALSE(bare.rate_per_second);
    CHECK_FALSE(bare.burst);
    CHECK(it->routes.at(0).is_public);
    CHECK_FALSE(it->routes.at(1).is_public);
    CHECK_FALSE(it->routes.at(2).is_public);
    CHECK(config(with_tenants("[]"))->accounts->empty());
    CHECK_FALSE(config(with_replaced(with_tenants("[]"), R"("tenants":[],)", ""))->accounts);
}

// Guards against a configuration whose accounts are applied in part, against names that add header fields,
// and against keys in error messages, which are logged.
TEST_CASE_FIXTURE(json_wire_format_fixture,
                  "json_wire_format, invalid accounts, are an error that contains no key") {
    for (const auto* text :
         {R"(null)", R"({})", R"(["key-1"])", R"([{"name":"a"}])", R"([{"api-keys":["key-1"]}])",
          R"([{"name":"","api-keys":["key-1"]}])", R"([{"name":" a","api-keys":["key-1"]}])",
          R"([{"name":"a\r\nX: 1","api-keys":["key-1"]}])", R"([{"name":"a","api-keys":"key-1"}])",
          R"([{"name":"a","api-keys":["key-1",7]}])", R"([{"name":"a","api-keys":["key-1",""]}])",
          R"([{"name":"a","api-keys":["key-1"],"priority":"key-1"}])",
          R"([{"name":"a","api-keys":["key-1"],"rate-per-s":-1}])",
          R"([{"name":"a","api-keys":["key-1"],"burst":"1"}])",
          R"([{"name":"a","api-keys":["key-1"]},{"name":"b","api-keys":["key-2","key-1"]}])"}) {
        CAPTURE(text);
        const auto reason = config_error(with_tenants(text));
        CHECK_FALSE(reason.empty());
        CHECK(reason.find("key-") == std::string::npos);
    }
}

// Guards against credentials of another form that pass for a key.
TEST_CASE_FIXTURE(json_wire_format_fixture, "json_wire_format, credentials, yield a key only in one form") {
    CHECK(subject.read_key("Bearer k-1") == "k-1");
    CHECK(subject.read_key("bEARER   k-1=") == "k-1=");
    for (const auto* text : {"", "Bearer", "Bearer ", "Bearer  ", " Bearer k", "Bearerk", "Bearer\tk",
                             "Basic k", "k", "Bearer k k", "Bearer k ", "Bearer k\x7f", "Bearer \xc3\xa9"}) {
        CAPTURE(text);
        CHECK_FALSE(subject.read_key(text));
    }
    CHECK(subject.read_key("Bearer " + std::string(8192, 'k'))->size() == 8192);
}

// Guards against treating an upstream as idle because its load header has another format.
TEST_CASE_FIXTURE(json_wire_format_fixture,
                  "json_wire_format, load header, is parsed with and without the slowness") {
    CHECK(subject.read_load("3,0,8")->slowness == doctest::Approx(1));
    CHECK(subject.read_load("3,1,8,400")->slowness == doctest::Approx(4));
    CHECK(subject.read_load("3,1,8,400")->waiting == 1);
    for (const auto* text : {"", "3", "3,0", "a,b,c", "3,0,8,x"}) {
        CHECK_FALSE(subject.read_load(text));
    }
}

// Guards against settings that are misread, and against missing settings that are ignored.
TEST_CASE("settings file, fields of the platform, are translated; missing ones are an error") {
    const auto read = [](const std::string& text) {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<platform_settings>> {
                BOOST_LEAF_AUTO(it, read_settings_text(text));
                return std::optional<platform_settings>(it);
            },
            [] { return std::optional<platform_settings>(); });
    };
    const std::string text =
        "node-name=n1\nip=10.0.0.1\nzone=north\ninternal-ports=7540,7555\nlisten.front=10.0.0.1:80\n"
        "seeds=10.0.0.2:81,10.0.0.3:81\nlimits.cpu-share=0.2\nlimits.cpu-cores=1\nlimits.memory-mb="
        "260\nlimits.max-fds=1200\nunknown=1\n"
        "bounds=grace-s=5,budget-window-s=8,retry-budget-burst=62,ttl_max_s=1\n"
        "platform.address=10.9.0.1:80\n";
    const auto it = read(text);
    REQUIRE(it);
    CHECK(it->gateway.self.gossip_port == 7540);
    CHECK(it->gateway.self.capacity == 200);
    CHECK(it->gateway.memory_bytes == 260U * 1048576U);
    CHECK(it->gateway.max_descriptors == 1200);
    CHECK(it->gateway.grace == millis{5000});
    CHECK(it->gateway.retries.window == millis{8000});
    CHECK(it->gateway.retries.burst == doctest::Approx(62));
    CHECK(it->gateway.address_ttl == millis{1000});
    CHECK(it->gateway.seed_ips == std::vector<std::string>{"10.0.0.2", "10.0.0.3"});
    CHECK(it->store_address == "10.9.0.1:80");
    for (const auto* unusable : {"", "limits.memory-mb=-1\n", "limits.memory-mb=many\n"}) { // no limit
        const auto other = read(with_replaced(text, "limits.memory-mb=260\n", unusable));
        REQUIRE(other);
        CHECK(other->gateway.memory_bytes == 0);
    }
    for (const auto* unusable : {"", "-1", "many", "inf", "nan", "1e300", "99999999999"}) { // no limit
        const auto other = read(
            with_replaced(text, "limits.max-fds=1200\n", std::string("limits.max-fds=") + unusable + "\n"));
        REQUIRE(other);
        CHECK(other->gateway.max_descriptors == 0);
    }
    CHECK_FALSE(read(""));
    CHECK_FALSE(read(with_replaced(text, "platform.address=10.9.0.1:80\n", "")));
    CHECK_FALSE(read(with_replaced(text, "internal-ports=7540,7555\n", "")));
}

} // namespace berylcrank
