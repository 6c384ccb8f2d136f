#include "standins/common/blocking_http_server.h"
#include "standins/common/fault_injector.h"
#include "standins/log/record_log.h"

#include "absl/strings/escaping.h"

#include <atomic>
#include <nlohmann/json.hpp>

namespace berylcrank::standin {

namespace {

/** The log service of a platform, for tests only. */
class log_standin {
public:
    plain_answer handle(const plain_request& it) {
        if (it.path == "/control" && it.method == "POST") {
            return control(it);
        }
        if (const int status = gate_.pass(); status != 0) {
            return {.status = status > 0 ? static_cast<unsigned>(status) : 503,
                    .body = "{}",
                    .closes = status < 0};
        }
        if (it.path == "/append" && it.method == "POST") {
            return append(it);
        }
        if (it.path == "/read" && it.method == "GET") {
            return read(it);
        }
        return {.status = 404, .body = "{}"};
    }

    void stop() {
        gate_.stop();
        log_.stop();
    }

private:
    plain_answer append(const plain_request& it) {
        std::uint64_t offset = 0;
        switch (log_.append(it.body, offset)) {
        case append_outcome::throttled:
            return {.status = 429, .body = "{}"};
        case append_outcome::too_large:
            return {.status = 413, .body = "{}"};
        case append_outcome::appended:
            break;
        }
        if (lost_answers_.load() > 0 && lost_answers_.fetch_sub(1) > 0) {
            return {.closes = true};
        }
        return {.body = nlohmann::json{{"offset", offset}}.dump()};
    }

    plain_answer read(const plain_request& it) {
        constexpr std::uint64_t longest_wait_ms = 30000;
        const auto wait = std::min(it.number("wait_ms", 0), longest_wait_ms);
        const auto page = log_.read(it.number("from", 0), it.number("max", 100),
                                    std::chrono::milliseconds(static_cast<std::int64_t>(wait)));
        // An outage that began during the long poll cuts it off as well.
        if (const int status = gate_.pass_again(); status != 0) {
            return {.status = 503, .body = "{}", .closes = status < 0};
        }
        auto records = nlohmann::json::array();
        for (const auto& [offset, data] : page.records) {
            records.push_back({{"offset", offset}, {"data", absl::Base64Escape(data)}});
        }
        return {.body =
                    nlohmann::json{{"first", page.first}, {"next", page.next}, {"records", records}}.dump()};
    }

    /** Keys: outage ("none", "refuse", "silent"), slow_ms, lose_answers, trim, retention_ms, retention_count,
       appends_per_second, record_bytes, page_bytes. */
    plain_answer control(const plain_request& it) {
        const auto order = nlohmann::json::parse(it.body, nullptr, false);
        if (!order.is_object()) {
            return {.status = 400, .body = "{}"};
        }
        auto limits = log_.limits();
        limits.retention_ms = order.value("retention_ms", limits.retention_ms);
        limits.retention_count = order.value("retention_count", limits.retention_count);
        limits.appends_per_second = order.value("appends_per_second", limits.appends_per_second);
        limits.record_bytes = order.value("record_bytes", limits.record_bytes);
        limits.page_bytes = order.value("page_bytes", limits.page_bytes);
        log_.set_limits(limits);
        if (order.contains("slow_ms")) {
            gate_.set_delay(std::chrono::milliseconds(order.value("slow_ms", 0)));
        }
        if (order.contains("lose_answers")) {
            lost_answers_.store(order.value("lose_answers", 0));
        }
        if (order.contains("trim")) {
            log_.trim(order.value("trim", std::uint64_t{0}));
        }
        if (order.contains("outage") && !gate_.set_outage(order.value("outage", ""))) {
            return {.status = 400, .body = "{}"};
        }
        return {.body = "{}"};
    }

    record_log log_;
    fault_gate gate_;
    std::atomic<int> lost_answers_{0};
};

} // namespace

} // namespace berylcrank::standin

int main(int argc, char** argv) {
    berylcrank::standin::log_standin it;
    return berylcrank::standin::run_standin(
        argc, argv, [&](const auto& request) { return it.handle(request); }, [&] { it.stop(); });
}
