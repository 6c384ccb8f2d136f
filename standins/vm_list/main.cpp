#include "standins/common/blocking_http_server.h"
#include "standins/common/fault_injector.h"

#include <deque>
#include <nlohmann/json.hpp>

namespace berylcrank::standin {

namespace {

/** Test double for the platform's VM list. A new list becomes visible after a configurable lag. */
class vm_list_standin {
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
        if (request.path == "/vms" && request.method == "GET") {
            return {.body = visible_list()};
        }
        return {.status = 404, .body = "{}"};
    }

    void stop() { faults_.stop(); }

private:
    struct version {
        std::chrono::steady_clock::time_point visible_from;
        std::string body;
    };

    std::string visible_list() {
        const lock_guard guard(mutex_);
        const auto now = std::chrono::steady_clock::now();
        while (versions_.size() > 1 && versions_[1].visible_from <= now) {
            versions_.pop_front();
        }
        return versions_.front().visible_from <= now ? versions_.front().body : R"({"vms":[]})";
    }

    /** Accepts the keys vms (a list as in the response), lag_ms, outage ("none", "refuse", "silent") and
        slow_ms. */
    standin_response control(const standin_request& request) {
        const auto command = nlohmann::json::parse(request.body, nullptr, false);
        if (!command.is_object()) {
            return {.status = 400, .body = "{}"};
        }
        if (command.contains("slow_ms")) {
            faults_.set_delay(std::chrono::milliseconds(command.value("slow_ms", 0)));
        }
        if (command.contains("outage") && !faults_.set_outage(command.value("outage", ""))) {
            return {.status = 400, .body = "{}"};
        }
        const lock_guard guard(mutex_);
        lag_ = std::chrono::milliseconds(command.value("lag_ms", lag_.count()));
        if (command.contains("vms")) {
            const nlohmann::json body{{"vms", command["vms"]}};
            versions_.push_back({std::chrono::steady_clock::now() + lag_, body.dump()});
        }
        return {.body = "{}"};
    }

    fault_injector faults_;
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
