#include "modules/berylcrank_gateway/http/message_parser.h"
#include "modules/berylcrank_gateway/log/event_log.h"
#include "modules/berylcrank_gateway/peers/node_message.h"

#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <doctest/doctest.h>
#include <unistd.h>

namespace berylcrank {

namespace {

instant at(std::int64_t ms) {
    return instant{millis{ms}};
}

struct event_log_fixture {
    std::array<int, 2> pipe_fds{};
    manual_clock time;
    std::unique_ptr<event_log> subject;

    event_log_fixture() {
        REQUIRE(pipe(pipe_fds.data()) == 0);
        time.advance(millis{10000});
        subject = std::make_unique<event_log>(pipe_fds[1], "vm-1", time);
    }

    ~event_log_fixture() {
        close(pipe_fds[0]);
        close(pipe_fds[1]);
    }
    event_log_fixture(const event_log_fixture&) = delete;
    event_log_fixture& operator=(const event_log_fixture&) = delete;

    std::string written() const {
        std::array<char, 65536> buf{};
        const auto n = read(pipe_fds[0], buf.data(), buf.size());
        return {buf.data(), static_cast<std::size_t>(std::max<ssize_t>(0, n))};
    }
};

} // namespace

// Guards against losing bytes of a message that arrives in several reads, wherever it is split.
TEST_CASE("message_parser, chunked response split at any byte, yields the whole body") {
    const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n"
                             "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\nrest";
    const auto size = text.size() - 4;
    for (std::size_t cut = 1; cut < size; ++cut) {
        response_parser subject;
        boost::beast::error_code ec;
        CHECK(subject.feed(std::string_view(text).substr(0, cut), ec) == cut);
        REQUIRE_FALSE(ec);
        CHECK(subject.feed(std::string_view(text).substr(cut), ec) == size - cut);
        REQUIRE_FALSE(ec);
        CHECK(subject.is_done());
        CHECK(subject.body == "hello world");
        CHECK(*find_header(subject.head.headers, "a") == "b");
    }
}

// Guards against memory that grows with a line of a chunked body that never ends.
TEST_CASE("message_parser, endless line in a chunked body, is an error") {
    for (const auto* start : {"1;", "0\r\nTrailer: "}) {
        CAPTURE(start);
        response_parser subject;
        boost::beast::error_code ec;
        subject.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ec);
        REQUIRE_FALSE(ec);
        subject.feed(start, ec);
        std::size_t fed = 0;
        while (!ec && fed < 4 * response_parser::max_line_bytes) {
            const std::string block(1000, 'x');
            subject.feed(block, ec);
            fed += block.size();
        }
        CHECK(ec);
        CHECK(fed <= response_parser::max_line_bytes + 2000);
    }
}

// Guards against a message with an address that ends the process, or with lists that exhaust its memory.
TEST_CASE("node_message, addresses or counts out of range, is rejected") {
    const node_info good{.name = "n", .ip = "10.0.0.1", .gossip_port = 7540, .front_address = "10.0.0.1:80"};
    CHECK(is_valid(good));
    for (const auto* ip : {"", "nowhere", "10.0.0.256", "::1"}) {
        CAPTURE(ip);
        auto it = good;
        it.ip = ip;
        CHECK_FALSE(is_valid(it));
        const node_message message{.node = 7, .self = it, .known = {it, good}};
        CHECK_FALSE(decode_message(encode(message, at(1)), at(1)));
    }
    auto no_port = good;
    no_port.gossip_port = 0;
    CHECK_FALSE(is_valid(no_port));
    auto long_name = good;
    long_name.name = std::string(300, 'n');
    CHECK_FALSE(is_valid(long_name));
    const auto known =
        decode_message(encode({.node = 7, .self = good, .known = {no_port, good}}, at(1)), at(1));
    REQUIRE(known);
    CHECK(known->known.size() == 1);
    node_message huge{.node = 7};
    huge.loads.resize(20000);
    CHECK_FALSE(decode_message(encode(huge, at(1)), at(1)));
}

// Guards against reports of suspects that lose a field, or whose times shift, on their way to another node.
TEST_CASE("node_message, suspects, arrive with all fields and times on the receiver's clock") {
    const instant sent{millis{100000}};
    const instant received{millis{5000}}; // the clocks of two nodes have different origins
    const auto at = [](instant now, int age) { return now - millis{age}; };
    const node_message it{.node = 7,
                          .suspects = {{.fingerprint = ~0ULL,
                                        .cleared_at = at(sent, 900),
                                        .trial_started = at(sent, 30),
                                        .losses = {{.upstream = ~0U,
                                                    .run = 1700000000001,
                                                    .sent_at = at(sent, 500),
                                                    .lost_at = at(sent, 400),
                                                    .closed = true}}}}};
    const auto decoded = decode_message(encode(it, sent), received);
    REQUIRE(decoded);
    REQUIRE(decoded->suspects.size() == 1);
    const auto& suspect = decoded->suspects.front();
    CHECK(suspect.fingerprint == ~0ULL);
    CHECK(suspect.cleared_at == at(received, 900));
    CHECK(suspect.trial_started == at(received, 30));
    REQUIRE(suspect.losses.size() == 1);
    CHECK(suspect.losses[0].upstream == it.suspects[0].losses[0].upstream);
    CHECK(suspect.losses[0].run == it.suspects[0].losses[0].run);
    CHECK(suspect.losses[0].sent_at == at(received, 500));
    CHECK(suspect.losses[0].lost_at == at(received, 400));
    CHECK(suspect.losses[0].closed);
}

// Guards against a datagram or state response that ends the process when it is cut or altered anywhere.
TEST_CASE("node_message, bytes cut or altered at any place, are decoded or rejected") {
    const node_info info{.name = "n", .ip = "10.0.0.1", .gossip_port = 7540, .front_address = "10.0.0.1:80"};
    node_message it{.node = 7,
                    .has_watermarks = true,
                    .self = info,
                    .known = {info},
                    .leaving = {3},
                    .suspects = {{.fingerprint = 1, .losses = {{.upstream = 2, .run = 3}}}}};
    it.loads.push_back({.upstream = 11, .report = load_snapshot{.running = 3, .at = at(980)}});
    state_response state;
    state[0].records.push_back({.key = "config", .offset = 3, .value = std::string(300, 'c')});
    for (const auto& bytes : {encode(it, at(1000)), encode(state)}) {
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            const auto cut = std::string_view(bytes).substr(0, i);
            decode_message(cut, at(1000));
            decode_state(cut);
            for (const int mask : {1, 0x80, 0xff}) {
                auto altered = bytes;
                altered[i] = static_cast<char>(altered[i] ^ mask);
                decode_message(altered, at(1000));
                decode_state(altered);
            }
        }
    }
}

// Guards against request smuggling: a request has both a Content-Length and a chunked body.
TEST_CASE("message_parser, Content-Length and chunked encoding, is an error") {
    request_parser subject;
    boost::beast::error_code ec;
    subject.feed(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ec);
    CHECK(ec);
}

// Guards against fields that are lost or altered by the encoding of a message.
TEST_CASE("node_message, all fields set, round-trips through the encoding") {
    const load_snapshot report{
        .running = 3, .waiting = 1, .slots = 4, .slowness = 4.25, .at = at(980), .connected_at = at(400)};
    node_message it{.node = 7, .incarnation = 9, .ready = true, .has_watermarks = true};
    it.watermarks[1] = {
        .complete = true, .end = 40, .age = millis{70}, .reader = 5, .read_number = 6, .last_change_end = 33};
    it.loads.push_back({.upstream = 11,
                        .report = report,
                        .outcomes = {.good = 2, .bad = 1},
                        .unreachable = true,
                        .warm_up_left = millis{1500}});
    it.in_flight.push_back({.upstream = 11, .count = 2});
    it.self = node_info{.name = "vm-1", .ip = "10.0.0.1", .gossip_port = 7540, .capacity = 200};
    it.roster.push_back({.number = 3, .incarnation = 4, .beat = 5, .ready = true});
    it.waiting.push_back({.service = 12, .on_time = 3, .late = 2, .per_second = 31});
    const auto read = decode_message(encode(it, at(1000)), at(5000));
    REQUIRE(read);
    CHECK(read->watermarks[1].end == 40);
    CHECK(read->watermarks[1].last_change_end == 33);
    CHECK(read->watermarks[1].read_number == 6);
    CHECK(read->loads.at(0).report->slowness == doctest::Approx(4.25));
    CHECK(read->loads.at(0).report->at == at(4980)); // 20 ms old at the sender and at the receiver
    CHECK(*read->loads.at(0).warm_up_left == millis{1500});
    CHECK(read->in_flight.at(0).count == 2);
    CHECK(read->self->capacity == 200);
    CHECK(read->roster.at(0).beat == 5);
    CHECK(read->waiting == it.waiting);
}

// Guards against messages about usage caps that the encoding alters, and against limits that are no numbers.
TEST_CASE("node_message, each kind of message about usage caps, round-trips or is rejected") {
    const auto passed = [](const usage_message& it) {
        const auto read = decode_message(
            encode(node_message{.node = it.node, .incarnation = it.run, .usage = it}, at(1000)), at(5000));
        return read ? read->usage : std::nullopt;
    };
    const usage_message from{.node = 7, .run = 8};
    auto it = from;
    it.pledge = usage_pledge{.holder_run = 9, .stamp = -10, .nodes = 127, .groups = {0x8001, 0x0700}};
    auto read = passed(it);
    REQUIRE((read && read->pledge && !read->request));
    CHECK(read->node == 7);
    CHECK(read->run == 8);
    CHECK(read->pledge->holder_run == 9);
    CHECK(read->pledge->stamp == -10);
    CHECK(read->pledge->nodes == 127);
    CHECK(read->pledge->groups == it.pledge->groups);

    it = from;
    it.acknowledgement = usage_acknowledgement{.stamp = 11, .nodes = 12, .stopping = true, .owner_run = 13};
    read = passed(it);
    REQUIRE((read && read->acknowledgement));
    CHECK(read->acknowledgement->stamp == 11);
    CHECK(read->acknowledgement->nodes == 12);
    CHECK(read->acknowledgement->stopping);
    CHECK(read->acknowledgement->owner_run == 13);

    it = from;
    it.response = usage_response{.id = 14, .granted = true, .has_pledges = true, .wait = millis{15}};
    read = passed(it);
    REQUIRE((read && read->response));
    CHECK(read->response->id == 14);
    CHECK(read->response->granted);
    CHECK(read->response->has_pledges);
    CHECK(read->response->wait == millis{15});

    it = from;
    it.request = usage_request{
        .id = 16, .account = 17, .limits = {.rate_per_second = 2.5, .burst = 3.5}, .version = 18};
    read = passed(it);
    REQUIRE((read && read->request));
    CHECK(read->request->account == 17);
    CHECK(read->request->limits == it.request->limits);
    CHECK(read->request->version == 18);
    for (const double limit : {-1.0, std::nan(""), HUGE_VAL}) {
        it.request->limits = {.rate_per_second = limit, .burst = 1};
        CHECK_FALSE(passed(it));
        it.request->limits = {.rate_per_second = 1, .burst = limit};
        CHECK_FALSE(passed(it));
    }
}

// Guards against records that the encoding alters, and against responses that are too large for slow links.
TEST_CASE("state_response, a thousand routes, round-trips and is compressed") {
    state_response it;
    std::string routes;
    for (int n = 0; n < 1000; ++n) {
        routes += "{\"name\":\"r-" + std::to_string(n * 7919) +
                  "\",\"kind\":\"safe\",\"timeout-s\":1.2,\"max-attempts\":2},";
    }
    it[0].watermark = {.complete = true, .end = 12, .last_change_end = 12, .epoch = 3, .restored_end = 4};
    it[0].records.push_back({.key = "config", .offset = 11, .value = routes});
    it[1].records.push_back({.key = "u", .offset = 3, .removed = true});
    it[0].records[0].epoch = 2;
    const auto bytes = encode(it);
    CHECK(bytes.size() * 4 < routes.size());
    const auto read = decode_state(bytes);
    REQUIRE(read);
    CHECK((*read)[0].records.at(0).value == routes);
    CHECK((*read)[0].watermark.end == 12);
    CHECK((*read)[0].watermark.epoch == 3);
    CHECK((*read)[0].watermark.restored_end == 4);
    CHECK((*read)[0].records[0].epoch == 2);
    CHECK((*read)[1].records.at(0).removed);
    for (std::size_t n = 0; n < bytes.size(); n += 97) {
        CHECK_FALSE(decode_state(std::string_view(bytes).substr(0, n)));
    }
}

// Guards against a crash when a datagram of another sender or protocol arrives.
TEST_CASE("node_message, bytes of another protocol, decodes to nothing") {
    for (const auto* bytes : {"", "x", "GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff\xff"}) {
        CHECK_FALSE(decode_message(bytes, at(0)));
    }
    const auto good = encode(node_message{.node = 7}, at(0));
    for (std::size_t n = 1; n + 1 < good.size(); ++n) {
        decode_message(std::string_view(good).substr(0, n), at(0)); // must not crash
    }
}

// Guards against log lines that are not valid JSON because of a value that a caller sent.
TEST_CASE_FIXTURE(event_log_fixture,
                  "event_log, value with quotes and control characters, is one line of JSON") {
    subject->line("sent").field("request", "a\"b\\c\n\x01\xff").field("cost", 1.5).field("ok", true).send();
    subject->flush();
    const auto text = written();
    CHECK(std::count(text.begin(), text.end(), '\n') == 1);
    const auto object = boost::json::parse(text).as_object();
    CHECK(object.at("event") == "sent");
    CHECK(object.at("node") == "vm-1");
    CHECK(object.at("cost").as_double() == doctest::Approx(1.5));
}

// Guards against logging that uses up the processor under load, and against lines that are dropped but not
// counted.
TEST_CASE_FIXTURE(
    event_log_fixture,
    "event_log, thousand lines of an event at once, writes a burst and reports the dropped lines") {
    for (int n = 0; n < 1000; ++n) {
        subject->line("sent").send();
    }
    subject->line("refused").send(); // another event has its own rate limit
    subject->flush();
    const auto text = written();
    CHECK(std::count(text.begin(), text.end(), '\n') == static_cast<int>(event_log::burst_lines) + 1);
    time.advance(millis{1000});
    subject->line("sent").send();
    subject->flush();
    CHECK(written().find("\"left_out\":920") != std::string::npos);
}

// Guards against a process that blocks because nothing reads its log.
TEST_CASE_FIXTURE(event_log_fixture, "event_log, nothing reads the pipe, does not block and drops lines") {
    for (int n = 0; n < 20000; ++n) {
        time.advance(millis{100});
        subject->line("sent").field("request", std::string(200, 'x')).send();
        subject->flush();
    }
    CHECK(subject->dropped_lines() > 0);
}

} // namespace berylcrank
