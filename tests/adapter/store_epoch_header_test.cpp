#include "modules/berylcrank_gateway/server/http_listener.h"
#include "platform/http_metadata_store.h"

#include <deque>
#include <doctest/doctest.h>

namespace berylcrank {

namespace {

// A store that answers each call with the next prepared response.
class prepared_handler final : public request_handler {
public:
    struct response {
        int status{200};
        header_list headers;
        std::string body;
    };
    std::deque<response> responses;

    void handle(const exchange_ptr& it) override {
        REQUIRE_FALSE(responses.empty());
        const auto next = responses.front();
        responses.pop_front();
        it->respond(next.status, reason_phrase(next.status), next.headers, next.body);
    }
};

struct store_header_fixture {
    boost::asio::io_context io{1};
    steady_clock time;
    prepared_handler handler;
    ingress_limits limits;
    http_listener listener{
        io, "127.0.0.1:0",
        listener_context{time, handler, [this]() -> const ingress_limits& { return limits; }}};
    http_metadata_store subject{io, time, "127.0.0.1:" + std::to_string(listener.port())};

    // Reads records while the store answers with a status and an epoch; no epoch if it is null.
    store_read_result read(int status, const char* epoch) {
        handler.responses.push_back(
            {.status = status, .headers = header(epoch), .body = std::string(16, '\0')});
        std::optional<store_read_result> result;
        subject.read_from(record_source::operators, 0, {}, [&](const auto& it) { result = it; });
        return run(result);
    }

    // Reads a snapshot whose two pages have different epochs.
    store_read_result read_pages(const char* first, const char* second) {
        handler.responses.push_back(
            {.headers = header(first),
             .body = R"({"items":[{"key":"a","value":"eA==","offset":0}],"has-more":true,"end":2})"});
        handler.responses.push_back(
            {.headers = header(second),
             .body = R"({"items":[{"key":"b","value":"eA==","offset":1}],"has-more":false,"end":2})"});
        std::optional<store_read_result> result;
        subject.read_all(record_source::operators, [&](const auto& it) { result = it; });
        return run(result);
    }

private:
    static header_list header(const char* epoch) {
        return epoch == nullptr ? header_list{} : header_list{{"Store-Era", epoch}};
    }

    store_read_result run(const std::optional<store_read_result>& result) {
        while (!result) {
            io.run_one();
        }
        return *result;
    }
};

} // namespace

// Guards against a node that does not notice that the store was restored.
TEST_CASE_FIXTURE(store_header_fixture, "http_metadata_store, epoch in a response, is part of the result") {
    CHECK(read(200, "7").epoch == 7);
    CHECK(read(200, "7").outcome == store_outcome::ok);
    CHECK(read(410, "8").epoch == 8);
    CHECK(read(410, "8").outcome == store_outcome::expired);
    CHECK(read(503, "9").epoch == 9);
}

// Guards against a change for stores without epochs.
TEST_CASE_FIXTURE(store_header_fixture, "http_metadata_store, no epoch in a response, counts as 0") {
    const auto it = read(200, nullptr);
    CHECK(it.epoch == 0);
    CHECK_FALSE(it.malformed_epoch);
    CHECK(it.outcome == store_outcome::ok);
}

// Guards against a malformed epoch that is taken for a number or for the loss of the store.
TEST_CASE_FIXTURE(store_header_fixture, "http_metadata_store, malformed epoch, is reported as such") {
    for (const auto* text :
         {"", "-1", "+1", "1.5", "x", "0x1", "1 2", "1,2", "4294967296", "18446744073709551616"}) {
        CAPTURE(text);
        const auto it = read(200, text);
        CHECK(it.malformed_epoch);
        CHECK_FALSE(it.epoch);
        CHECK(it.outcome == store_outcome::ok);
    }
}

// Guards against a snapshot that mixes the content before and after a restore.
TEST_CASE_FIXTURE(store_header_fixture,
                  "http_metadata_store, store is restored between two pages, the snapshot is read again") {
    CHECK(read_pages("3", "3").outcome == store_outcome::ok);
    const auto it = read_pages("3", "4");
    CHECK(it.outcome == store_outcome::expired);
    CHECK(it.epoch == 4);
}

} // namespace berylcrank
