#include "modules/berylcrank_once/message/order_message.h"

#include "absl/strings/str_cat.h"

namespace berylcrank {

order_response without_body(const order_response& it) {
    // 410 rather than the original status: an empty 200 would look like the whole answer.
    constexpr int http_gone = 410;
    return {.verdict = it.verdict,
            .status = http_gone,
            .reason = absl::StrCat("the order ended with status ", it.status, "; its answer was not kept")};
}

} // namespace berylcrank
