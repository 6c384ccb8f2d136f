#include "modules/berylcrank_report/timeline/request_timeline.h"

#include <doctest/doctest.h>
#include <sstream>

namespace berylcrank {

namespace {

struct timeline_fixture {
    request_timeline subject{"id-1"};

    void read(const std::string& text) {
        std::istringstream in(text);
        subject.read(in);
    }
};

} // namespace

// Guards against a timeline that is out of order or lacks the state change that explains the outcome.
TEST_CASE_FIXTURE(
    timeline_fixture,
    "request_timeline, lines of two nodes out of order, orders them and adds the state changes") {
    read(
        R"(  3.1 vm-1 {"at":5000,"node":"vm-1","event":"refused","request":"id-1","reason":"no-room","retry_after_ms":150}
{"at":4000,"node":"vm-1","event":"upstream-removed","upstream":"u-9"}
{"at":4900,"node":"vm-1","event":"store-lost","outcome":"refused"}
{"at":1000,"node":"vm-1","event":"store-lost","outcome":"refused"}
{"at":4900,"node":"vm-2","event":"store-lost","outcome":"refused"}
{"at":4950,"node":"vm-1","event":"sent","request":"id-2"}
)");
    const auto events = subject.events();
    REQUIRE(events.size() == 2);
    CHECK(events[0].event == "store-lost");
    CHECK(events[1].event == "refused");
    CHECK(subject.cause() == "refused (no-room), retry after 150 ms; never sent to an upstream");
}

// Guards against a description of a failed request without its cause.
TEST_CASE_FIXTURE(timeline_fixture,
                  "request_timeline, attempt broken off, cause contains upstream and failure") {
    read(R"({"at":1,"node":"vm-1","event":"sent","request":"id-1","upstream":"u-1"}
{"at":9,"node":"vm-1","event":"attempt-ended","request":"id-1","upstream":"u-1","result":"may-have-run","failure":"broken-off","took_ms":8.5}
{"at":9,"node":"vm-1","event":"failed","request":"id-1","status":502,"reason":"may-have-run"}
)");
    CHECK(subject.cause() ==
          "response status 502 (may-have-run); last attempt, to u-1, ended as may-have-run "
          "broken-off after 8.5 ms");
}

// Guards against reporting a request to an upstream without a response as never sent.
TEST_CASE_FIXTURE(timeline_fixture,
                  "request_timeline, upstream does not respond, cause contains its load at dispatch") {
    read(
        R"({"at":1,"node":"vm-1","event":"sent","request":"id-1","upstream":"u-1","in_flight":2,"report_age_ms":31}
{"at":1211,"node":"vm-1","event":"failed","request":"id-1","status":504,"reason":"out-of-time"}
)");
    CHECK(subject.cause() ==
          "response status 504 (out-of-time); last attempt, to u-1 with 2 other requests in flight and a "
          "load report of age 31 ms, got no response");
}

// Guards against a reader that stops at the first line that is not a log line.
TEST_CASE_FIXTURE(timeline_fixture, "request_timeline, lines of other programs, are counted and skipped") {
    read("hello\n{\"a\":\n{\"event\":\"sent\",\"request\":\"id-1\",\"at\":1}\n[]\n");
    CHECK(subject.unreadable_lines() == 3);
    CHECK(subject.events().size() == 1);
}

} // namespace berylcrank
