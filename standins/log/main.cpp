#include "standins/common/blocking_http_server.h"
#include "standins/common/fault_injector.h"
#include "standins/log/record_log.h"

#include "absl/strings/escaping.h"

#include <atomic>
#include <nlohmann/json.hpp>

namespace berylcrank::standin {

namespace {

/** Test double for the platform's log service. */
class log_standin {
public:
    standin_response handle(const standin_request& request) {
        if (request.path == "/control" && request.method == "POST") {
            return control(request);
        }
        if (const int status = faults_.apply(); status != 0) {
            return {.status = status > 0 ? static_cast<unsigned>(status) : 503,
                    .body = "{}",
                    .close_connection = status < 0};
        }
        if (request.path == "/append" && request.method == "POST") {
            return append(request);
        }
        if (request.path == "/read" && request.method == "GET") {
            return read(request);
        }
        return {.status = 404, .body = "{}"};
    }

    void stop() {
        faults_.stop();
        log_.stop();
    }

private:
    standin_response append(const standin_request& request) {
        std::uint64_t offset = 0;
        switch (log_.append(request.body, offset)) {
        case append_outcome::throttled:
            return {.status = 429, .body = "{}"};
        case append_outcome::too_large:
            return {.status = 413, .body = "{}"};
        case append_outcome::appended:
            break;
        }
        if (lost_responses_.load() > 0 && lost_responses_.fetch_sub(1) > 0) {
            return {.close_connection = true};
        }
        return {.body = nlohmann::json{{"offset", offset}}.dump()};
    }

    standin_response read(const standin_request& request) {
        constexpr std::uint64_t max_wait_ms = 30000;
        const auto wait = std::min(request.number("wait_ms", 0), max_wait_ms);
        const auto page = log_.read(request.number("from", 0), request.number("max", 100),
                                    std::chrono::milliseconds(static_cast<std::int64_t>(wait)));
        // An outage that starts during the long poll applies to its response too.
        if (const int status = faults_.apply_outage(); status != 0) {
            return {.status = 503, .body = "{}", .close_connection = status < 0};
        }
        auto records = nlohmann::json::array();
        for (const auto& [offset, data] : page.records) {
            records.push_back({{"offset", offset}, {"data", absl::Base64Escape(data)}});
        }
        return {.body =
                    nlohmann::json{{"first", page.first}, {"next", page.next}, {"records", records}}.dump()};
    }

    /** Accepts the keys outage ("none", "refuse", "silent"), slow_ms, lose_answers, trim, retention_ms,
        retention_count, appends_per_second, record_bytes and page_bytes. */
    standin_response control(const standin_request& request) {
        const auto command = nlohmann::json::parse(request.body, nullptr, false);
        if (!command.is_object()) {
            return {.status = 400, .body = "{}"};
        }
        auto limits = log_.limits();
        limits.retention_ms = command.value("retention_ms", limits.retention_ms);
        limits.retention_count = command.value("retention_count", limits.retention_count);
        limits.appends_per_second = command.value("appends_per_second", limits.appends_per_second);
        limits.record_bytes = command.value("record_bytes", limits.record_bytes);
        limits.page_bytes = command.value("page_bytes", limits.page_bytes);
        log_.set_limits(limits);
        if (command.contains("slow_ms")) {
            faults_.set_delay(std::chrono::milliseconds(command.value("slow_ms", 0)));
        }
        if (command.contains("lose_answers")) {
            lost_responses_.store(command.value("lose_answers", 0));
        }
        if (command.contains("trim")) {
            log_.trim(command.value("trim", std::uint64_t{0}));
        }
        if (command.contains("outage") && !faults_.set_outage(command.value("outage", ""))) {
            return {.status = 400, .body = "{}"};
        }
        return {.body = "{}"};
    }

    record_log log_;
    fault_injector faults_;
    std::atomic<int> lost_responses_{0};
};

} // namespace

} // namespace berylcrank::standin

int main(int argc, char** argv) {
    berylcrank::standin::log_standin it;
    return berylcrank::standin::run_standin(
        argc, argv, [&](const auto& request) { return it.handle(request); }, [&] { it.stop(); });
}
