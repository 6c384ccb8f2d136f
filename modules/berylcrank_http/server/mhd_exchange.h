#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_http/server/http_exchange.h"
#include "modules/berylcrank_http/server/mhd_daemon.h"

#include <atomic>
#include <microhttpd.h>

namespace berylcrank {

/** A request of a caller on a libmicrohttpd connection.

    The connection is suspended while the answer or its next part is missing. A suspended connection stays
    valid until it is resumed, so other threads touch it only while `suspended_` is set.
    @see mhd_server
*/
class mhd_exchange final : public http_exchange, public std::enable_shared_from_this<mhd_exchange> {
public:
    struct options {
        MHD_Connection* connection{nullptr};
        mhd_daemon* member{nullptr};                ///< Serves the connection.
        std::size_t buffer_bytes{262144};           ///< Capacity of a streamed answer's buffer.
        const std::atomic<bool>* closing{nullptr};  ///< True: answers carry `Connection: close`.
        const std::atomic<bool>* stopping{nullptr}; ///< True: nothing is suspended any more.
    };

    explicit mhd_exchange(const options& it) : options_(it) {}

    [[nodiscard]] const http_request& request() const override { return request_; }
    void respond(http_response it) override;
    std::shared_ptr<body_buffer> start_response(http_response_head head,
                                                std::optional<std::uint64_t> content_bytes) override;
    void abort() override;
    void set_on_disconnect(std::function<void()> it) override;

    /** The request while it is received; only for the thread of the connection. */
    http_request& receiving() { return request_; }

    /** Queues the answer if there is one, else suspends the connection. Called by the connection's thread. */
    MHD_Result proceed();

    /** Next part of a streamed answer, for libmicrohttpd. */
    ssize_t read(char* out, std::size_t max);

    /** The connection ended or is about to; ends the request if its answer is not complete. */
    void mark_gone();

    /** The answer was sent completely; nothing more happens. */
    void mark_complete();

private:
    enum class phase : std::uint8_t { waiting, answered, streaming, queued, over };

    void resume() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void wake();
    // Both run on the connection's thread after `phase::queued` was set, when no other thread touches the
    // answer.
    MHD_Result queue(phase was) ABSL_NO_THREAD_SAFETY_ANALYSIS;
    MHD_Response* make_response(phase was) ABSL_NO_THREAD_SAFETY_ANALYSIS;

    options options_;
    http_request request_;
    mutable mutex mutex_;
    phase phase_ ABSL_GUARDED_BY(mutex_){phase::waiting};
    bool suspended_ ABSL_GUARDED_BY(mutex_){false};
    bool data_ready_ ABSL_GUARDED_BY(mutex_){false};
    bool aborted_ ABSL_GUARDED_BY(mutex_){false};
    bool gone_ ABSL_GUARDED_BY(mutex_){false};
    http_response answer_ ABSL_GUARDED_BY(mutex_);
    std::optional<std::uint64_t> content_bytes_ ABSL_GUARDED_BY(mutex_);
    std::shared_ptr<body_buffer> buffer_ ABSL_GUARDED_BY(mutex_);
    std::function<void()> on_gone_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
