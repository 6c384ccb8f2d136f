#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_membership/view/peer_view.h"
#include "modules/berylcrank_node/control/stop_signal.h"
#include "modules/berylcrank_platform/vm_list/vm_list.h"

#include <atomic>
#include <thread>

namespace berylcrank {

/** Polls the VM list on its own thread and passes it to the peer view. The last list stays in use while the
    platform does not respond.
    @see peer_view
*/
class vm_list_poller {
public:
    struct dependencies {
        vm_list& list;
        peer_view& peers;
        const clock& time;
    };

    vm_list_poller(const dependencies& it, millis interval) : deps_(it), interval_(interval) {}
    ~vm_list_poller() { stop(); }
    vm_list_poller(const vm_list_poller&) = delete;
    vm_list_poller& operator=(const vm_list_poller&) = delete;

    /** Starts the thread. */
    void start();

    /** Cancels a fetch in progress and joins the thread. */
    void stop();

    /** Number of failed fetches. */
    [[nodiscard]] std::uint64_t failures() const { return failures_.load(); }

    /** True once a list has been read. */
    [[nodiscard]] bool has_list() const { return has_list_.load(); }

private:
    void run();
    void fetch();

    dependencies deps_;
    millis interval_;
    stop_signal signal_;
    std::atomic<std::uint64_t> failures_{0};
    std::atomic<bool> has_list_{false};
    std::thread thread_;
};

} // namespace berylcrank
