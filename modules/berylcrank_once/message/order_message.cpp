#include "modules/berylcrank_once/message/order_message.h"

#include "absl/strings/str_cat.h"

namespace berylcrank {

order_response without_body(const order_response& it) {
    // Uses 410 instead of the original status: a client would take an empty 200 for the complete response.
    constexpr int http_gone = 410;
    return {.verdict = it.verdict,
            .status = http_gone,
            .reason = absl::StrCat("the order ended with status ", it.status, "; its answer was not kept")};
}

} // namespace berylcrank
