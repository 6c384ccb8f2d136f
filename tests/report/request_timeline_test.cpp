#include "modules/berylcrank_report/timeline/request_timeline.h"

#include <doctest/doctest.h>
#include <sstream>

namespace berylcrank {

namespace {

struct story_fixture {
    request_story subject{"id-1"};

    void read(const std::string& text) {
        std::istringstream in(text);
        subject.read(in);
    }
};

} // namespace

// Guards against a story out of order, or without the change of belief that explains it.
TEST_CASE_FIXTURE(story_fixture,
                  "request_story, lines of two nodes in any order, tells them in order with their beliefs") {
    read(
        R"(  3.1 vm-1 {"at":5000,"node":"vm-1","event":"refused","request":"id-1","reason":"no-room","retry_after_ms":150}
{"at":4000,"node":"vm-1","event":"upstream-removed","upstream":"u-9"}
{"at":4900,"node":"vm-1","event":"store-lost","outcome":"refused"}
{"at":1000,"node":"vm-1","event":"store-lost","outcome":"refused"}
{"at":4900,"node":"vm-2","event":"store-lost","outcome":"refused"}
{"at":4950,"node":"vm-1","event":"sent","request":"id-2"}
)");
    const auto lines = subject.lines();
    REQUIRE(lines.size() == 2);
    CHECK(lines[0].event == "store-lost");
    CHECK(lines[1].event == "refused");
    CHECK(subject.cause() ==
          "refused (no-room), to come back after 150 ms; it was never sent to an upstream");
}

// Guards against a failed request whose cause is not named.
TEST_CASE_FIXTURE(story_fixture, "request_story, attempt breaks off, names the upstream and the failure") {
    read(R"({"at":1,"node":"vm-1","event":"sent","request":"id-1","upstream":"u-1"}
{"at":9,"node":"vm-1","event":"attempt-ended","request":"id-1","upstream":"u-1","result":"may-have-run","failure":"broken-off","took_ms":8.5}
{"at":9,"node":"vm-1","event":"failed","request":"id-1","status":502,"reason":"may-have-run"}
)");
    CHECK(subject.cause() == "answered 502 (may-have-run); its last attempt, at u-1, ended as may-have-run "
                             "broken-off after 8.5 ms");
}

// Guards against a silent upstream being told as a request that was never sent.
TEST_CASE_FIXTURE(story_fixture, "request_story, upstream stays silent, names it and what was known of it") {
    read(
        R"({"at":1,"node":"vm-1","event":"sent","request":"id-1","upstream":"u-1","in_flight":2,"report_age_ms":31}
{"at":1211,"node":"vm-1","event":"failed","request":"id-1","status":504,"reason":"out-of-time"}
)");
    CHECK(subject.cause() ==
          "answered 504 (out-of-time); its last attempt, at u-1 with 2 others and a report of 31 ms, "
          "got no response");
}

// Guards against a tool that ends at the first line that is not one of ours.
TEST_CASE_FIXTURE(story_fixture, "request_story, lines of other programs, counts them and goes on") {
    read("hello\n{\"a\":\n{\"event\":\"sent\",\"request\":\"id-1\",\"at\":1}\n[]\n");
    CHECK(subject.unreadable() == 3);
    CHECK(subject.lines().size() == 1);
}

} // namespace berylcrank
