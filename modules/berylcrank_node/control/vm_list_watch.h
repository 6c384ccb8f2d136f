#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_membership/view/peer_view.h"
#include "modules/berylcrank_node/control/stop_signal.h"
#include "modules/berylcrank_platform/vm_list/vm_list.h"

#include <atomic>
#include <thread>

namespace berylcrank {

/** Fetches the VM list again and again on its own thread and gives it to the peer view. The last list stays
   in force while the platform does not answer.

    @see peer_view
*/
class vm_list_watch {
public:
    struct parts {
        vm_list& list;
        peer_view& peers;
        const clock& time;
    };

    vm_list_watch(const parts& it, millis interval) : parts_(it), interval_(interval) {}
    ~vm_list_watch() { stop(); }
    vm_list_watch(const vm_list_watch&) = delete;
    vm_list_watch& operator=(const vm_list_watch&) = delete;

    /** Starts the thread. */
    void start();

    /** Cancels a fetch in progress and joins the thread. */
    void stop();

    /** Fetches that failed. */
    [[nodiscard]] std::uint64_t failures() const { return failures_.load(); }

    /** True once a list was read. */
    [[nodiscard]] bool has_list() const { return has_list_.load(); }

private:
    void run();
    void fetch();

    parts parts_;
    millis interval_;
    stop_signal signal_;
    std::atomic<std::uint64_t> failures_{0};
    std::atomic<bool> has_list_{false};
    std::thread thread_;
};

} // namespace berylcrank
