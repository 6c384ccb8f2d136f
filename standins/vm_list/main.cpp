#include "standins/common/blocking_http_server.h"
#include "standins/common/fault_injector.h"

#include <deque>
#include <nlohmann/json.hpp>

namespace berylcrank::standin {

namespace {

/** The VM list of a platform, for tests only. A list that was set shows up after the lag. */
class vm_list_standin {
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
        if (it.path == "/vms" && it.method == "GET") {
            return {.body = shown()};
        }
        return {.status = 404, .body = "{}"};
    }

    void stop() { gate_.stop(); }

private:
    struct version {
        std::chrono::steady_clock::time_point shown_from;
        std::string body;
    };

    std::string shown() {
        const lock_guard guard(mutex_);
        const auto now = std::chrono::steady_clock::now();
        while (versions_.size() > 1 && versions_[1].shown_from <= now) {
            versions_.pop_front();
        }
        return versions_.front().shown_from <= now ? versions_.front().body : R"({"vms":[]})";
    }

    /** Keys: vms (a list as in the answer), lag_ms, outage ("none", "refuse", "silent"), slow_ms. */
    plain_answer control(const plain_request& it) {
        const auto order = nlohmann::json::parse(it.body, nullptr, false);
        if (!order.is_object()) {
            return {.status = 400, .body = "{}"};
        }
        if (order.contains("slow_ms")) {
            gate_.set_delay(std::chrono::milliseconds(order.value("slow_ms", 0)));
        }
        if (order.contains("outage") && !gate_.set_outage(order.value("outage", ""))) {
            return {.status = 400, .body = "{}"};
        }
        const lock_guard guard(mutex_);
        lag_ = std::chrono::milliseconds(order.value("lag_ms", lag_.count()));
        if (order.contains("vms")) {
            const nlohmann::json body{{"vms", order["vms"]}};
            versions_.push_back({std::chrono::steady_clock::now() + lag_, body.dump()});
        }
        return {.body = "{}"};
    }

    fault_gate gate_;
    mutex mutex_;
    std::chrono::milliseconds lag_ ABSL_GUARDED_BY(mutex_){0};
    std::deque<version> versions_ ABSL_GUARDED_BY(mutex_){{{}, R"({"vms":[]})"}};
};

} // namespace

} // namespace berylcrank::standin

int main(int argc, char** argv) {
    berylcrank::standin::vm_list_standin it;
    return berylcrank::standin::run_standin(
        argc, argv, [&](const auto& request) { return it.handle(request); }, [&] { it.stop(); });
}
