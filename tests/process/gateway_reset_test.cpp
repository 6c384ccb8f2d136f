#include "tests/support/platform_deployment.h"

#include <absl/strings/str_replace.h>
#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

// Larger than the socket buffers, so that the node is still writing it when the upstream responds.
constexpr std::size_t upload_bytes = 6U << 20U;

// A deployment whose configuration allows the upload.
struct gateway_reset_fixture {
    platform_deployment subject{
        1, 2, 1, "",
        absl::StrReplaceAll(platform_deployment::config(1),
                            {{"\"max-body-bytes\":1048576", "\"max-body-bytes\":8388608"}})};

    test_response upload(const std::string& id) {
        return subject.request(subject.nodes().front(), "POST", "/o/a", id, std::string(upload_bytes, 'x'));
    }
};

} // namespace

// Guards against part of a response that reaches the caller as a whole one, because the upstream resets the
// connection while the request is still being written, and against a second run of the order.
TEST_CASE_FIXTURE(
    gateway_reset_fixture,
    "gateway, upstream responds to a long order without a length and resets, caller gets no whole success") {
    for (const int bytes : {100, 400000}) { // the longer one may be streamed before the reset
        for (const auto* it : subject.workers_of("orders")) {
            subject.configure_worker(*it, "mode=early-reset&bytes=" + std::to_string(bytes));
        }
        for (int n = 0; n < 10; ++n) {
            const auto id = "o-early-" + std::to_string(bytes) + '-' + std::to_string(n);
            const auto response = upload(id);
            CAPTURE(response.status);
            CHECK((response.status == 502 || !response.is_complete));
            CHECK(subject.execution_count(id) == 1);
        }
    }
}

// Guards against a limit of the fixture that rejects the upload before an upstream gets it.
TEST_CASE_FIXTURE(gateway_reset_fixture, "gateway, long order at a sound upstream, is complete") {
    const auto response = upload("o-sound");
    CHECK(response.status == 200);
    CHECK(response.is_complete);
    CHECK(response.body.size() == 100);
}

} // namespace berylcrank::testing
