#include "modules/berylcrank_gateway/http/message_parser.h"
#include "modules/berylcrank_gateway/log/event_log.h"
#include "modules/berylcrank_gateway/peers/node_message.h"

#include <array>
#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

namespace berylcrank {

namespace {

instant at(std::int64_t ms) {
    return instant{millis{ms}};
}

struct pipe_log_fixture {
    std::array<int, 2> ends{};
    manual_clock time;
    std::unique_ptr<event_log> subject;

    pipe_log_fixture() {
        REQUIRE(pipe(ends.data()) == 0);
        time.advance(millis{10000});
        subject = std::make_unique<event_log>(ends[1], "vm-1", time);
    }

    ~pipe_log_fixture() {
        close(ends[0]);
        close(ends[1]);
    }
    pipe_log_fixture(const pipe_log_fixture&) = delete;
    pipe_log_fixture& operator=(const pipe_log_fixture&) = delete;

    std::string written() const {
        std::array<char, 65536> buf{};
        const auto n = read(ends[0], buf.data(), buf.size());
        return {buf.data(), static_cast<std::size_t>(std::max<ssize_t>(0, n))};
    }
};

} // namespace

// Guards against messages that arrive in pieces being lost, wherever they are cut.
TEST_CASE("message_parser, chunked response cut at any byte, gives the whole body") {
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

// Guards against requests smuggled inside another by two lengths.
TEST_CASE("message_parser, both lengths given, is no proper message") {
    request_parser subject;
    boost::beast::error_code ec;
    subject.feed(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ec);
    CHECK(ec);
}

// Guards against knowledge that changes on its way between nodes.
TEST_CASE("node_message, all fields set, survives encoding") {
    const load_snapshot report{.running = 3, .waiting = 1, .slots = 4, .slowness = 4.25, .at = at(980)};
    node_message it{.node = 7, .incarnation = 9, .ready = true, .has_marks = true};
    it.marks[1] = {.complete = true, .end = 40, .age = millis{70}, .reader = 5, .read = 6, .changed = 33};
    it.loads.push_back({.upstream = 11,
                        .report = report,
                        .outcomes = {.good = 2, .bad = 1},
                        .unreachable = true,
                        .cold_left = millis{1500}});
    it.in_flight.push_back({.upstream = 11, .count = 2});
    it.self = node_info{.name = "vm-1", .ip = "10.0.0.1", .gossip_port = 7540, .capacity = 200};
    it.roster.push_back({.number = 3, .incarnation = 4, .beat = 5, .ready = true});
    it.waiting.push_back({.service = 12, .on_time = 3, .late = 2, .per_second = 31});
    const auto read = decode_message(encode(it, at(1000)), at(5000));
    REQUIRE(read);
    CHECK(read->marks[1].end == 40);
    CHECK(read->marks[1].changed == 33);
    CHECK(read->marks[1].read == 6);
    CHECK(read->loads.at(0).report->slowness == doctest::Approx(4.25));
    CHECK(read->loads.at(0).report->at == at(4980)); // 20 ms old, as it was when it was sent
    CHECK(*read->loads.at(0).cold_left == millis{1500});
    CHECK(read->in_flight.at(0).count == 2);
    CHECK(read->self->capacity == 200);
    CHECK(read->roster.at(0).beat == 5);
    CHECK(read->waiting == it.waiting);
}

// Guards against records that change on their way between nodes, and against answers that are too large for
// small links.
TEST_CASE("state_answer, a thousand routes, survives encoding and is small") {
    state_answer it;
    std::string routes;
    for (int n = 0; n < 1000; ++n) {
        routes += "{\"name\":\"r-" + std::to_string(n * 7919) +
                  "\",\"kind\":\"safe\",\"timeout-s\":1.2,\"max-attempts\":2},";
    }
    it[0].mark = {.complete = true, .end = 12, .changed = 12};
    it[0].records.push_back({.key = "config", .offset = 11, .value = routes});
    it[1].records.push_back({.key = "u", .offset = 3, .removed = true});
    const auto bytes = encode(it);
    CHECK(bytes.size() * 4 < routes.size());
    const auto read = decode_state(bytes);
    REQUIRE(read);
    CHECK((*read)[0].records.at(0).value == routes);
    CHECK((*read)[0].mark.end == 12);
    CHECK((*read)[1].records.at(0).removed);
    for (std::size_t n = 0; n < bytes.size(); n += 97) {
        CHECK_FALSE(decode_state(std::string_view(bytes).substr(0, n)));
    }
}

// Guards against a process that ends because of a datagram from somebody else.
TEST_CASE("node_message, bytes of another protocol, gives nothing") {
    for (const auto* bytes : {"", "x", "GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff\xff"}) {
        CHECK_FALSE(decode_message(bytes, at(0)));
    }
    const auto good = encode(node_message{.node = 7}, at(0));
    for (std::size_t n = 1; n + 1 < good.size(); ++n) {
        decode_message(std::string_view(good).substr(0, n), at(0)); // must not end the process
    }
}

// Guards against log lines that tools cannot read, whatever callers send.
TEST_CASE_FIXTURE(pipe_log_fixture,
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

// Guards against logs that take the processor under load, and against lines left out without a word.
TEST_CASE_FIXTURE(pipe_log_fixture,
                  "event_log, thousand lines of a kind at once, writes its rate and says what it left out") {
    for (int n = 0; n < 1000; ++n) {
        subject->line("sent").send();
    }
    subject->line("refused").send(); // another kind has its own rate
    subject->flush();
    const auto text = written();
    CHECK(std::count(text.begin(), text.end(), '\n') == static_cast<int>(event_log::lines_burst) + 1);
    time.advance(millis{1000});
    subject->line("sent").send();
    subject->flush();
    CHECK(written().find("\"left_out\":920") != std::string::npos);
}

// Guards against a process that stops because nobody reads its log.
TEST_CASE_FIXTURE(pipe_log_fixture, "event_log, nobody reads, does not block and stays within its memory") {
    for (int n = 0; n < 20000; ++n) {
        time.advance(millis{100});
        subject->line("sent").field("request", std::string(200, 'x')).send();
        subject->flush();
    }
    CHECK(subject->left_out() > 0);
}

} // namespace berylcrank
