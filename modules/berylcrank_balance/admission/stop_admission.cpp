#include "modules/berylcrank_balance/admission/stop_admission.h"

namespace berylcrank {

bool may_send_while_stopping(const stop_inputs& in, const stop_options& options) {
    if (in.deadline_left <= in.exit_in) {
        return true;
    }
    return in.since_stop <= options.notice_time &&
           in.queue_wait + in.duration * options.duration_factor <= in.exit_in;
}

} // namespace berylcrank
