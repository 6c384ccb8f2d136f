#include "standins/platform_worker/worker_behaviour.h"

#include <absl/strings/numbers.h>

namespace berylcrank::standin {

void worker_behaviour::set(std::string_view name, const std::string& value) {
    int n = 0;
    const bool is_number = absl::SimpleAtoi(value, &n);
    if (name == "mode") {
        mode = value;
    } else if (name == "retry-after") {
        retry_after = value;
    } else if (name == "crash") {
        crash_target = value;
    } else if (name == "hang") {
        hang_target = value;
    } else if (name == "leaving") {
        leaving = value == "1";
    } else if (!is_number) {
        return;
    } else if (name == "bytes") {
        body_bytes = n >= 0 ? static_cast<std::size_t>(n) : body_bytes;
    } else if (name == "warm-up") {
        warm_up_ms = n;
    } else if (name == "work") {
        work_ms = n;
    } else if (name == "pieces") {
        pieces = n;
    } else if (name == "pause") {
        pause_ms = n;
    } else if (name == "cut") {
        cut = n;
    } else if (name == "status") {
        status = n;
    } else if (name == "slowness") {
        slowness = n;
    }
}

} // namespace berylcrank::standin
