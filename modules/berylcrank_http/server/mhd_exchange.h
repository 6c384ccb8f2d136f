#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_http/server/http_exchange.h"
#include "modules/berylcrank_http/server/mhd_daemon.h"

#include <atomic>
#include <microhttpd.h>

namespace berylcrank {

/** Implements http_exchange for a request on a libmicrohttpd connection.

    The connection is suspended while the response or its next block is not available. A suspended connection
    stays valid until it is resumed, so other threads access it only while `is_suspended_` is set.
    @see mhd_server
*/
class mhd_exchange final : public http_exchange, public std::enable_shared_from_this<mhd_exchange> {
public:
    struct options {
        MHD_Connection* connection{nullptr};
        mhd_daemon* daemon{nullptr};                ///< The daemon that runs the connection.
        std::size_t buffer_bytes{262144};           ///< Capacity of the buffer of a streamed response.
        const std::atomic<bool>* closing{nullptr};  ///< True: responses have `Connection: close`.
        const std::atomic<bool>* stopping{nullptr}; ///< True: connections are no longer suspended.
    };

    explicit mhd_exchange(const options& opts) : options_(opts) {}

    [[nodiscard]] const http_request& request() const override { return request_; }
    void respond(http_response response) override;
    std::shared_ptr<body_buffer> start_response(http_response_head head,
                                                std::optional<std::uint64_t> content_bytes) override;
    void abort() override;
    void set_on_disconnect(std::function<void()> callback) override;

    /** Returns the request for filling in. Call on the connection's thread, before the handler runs. */
    http_request& receiving() { return request_; }

    /** Queues the response if there is one, else suspends the connection. Call on the connection's thread.
        Returns MHD_NO if the connection must be closed. */
    MHD_Result respond_or_suspend();

    /** Reads the next block of a streamed response for libmicrohttpd. Returns the number of bytes, 0 after
        suspending the connection, or an end code of MHD_ContentReaderCallback. */
    ssize_t read(char* out, std::size_t max);

    /** Called when the connection ended or is about to end. Ends the request if its response is
        incomplete. */
    void mark_disconnected();

    /** Called when the complete response has been sent. */
    void mark_complete();

private:
    enum class phase : std::uint8_t { waiting, responded, streaming, queued, finished };

    void resume() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void wake();
    // Both run on the connection's thread after `phase::queued` was set, when no other thread accesses the
    // response.
    MHD_Result queue(phase previous) ABSL_NO_THREAD_SAFETY_ANALYSIS;
    MHD_Response* make_response(phase previous) ABSL_NO_THREAD_SAFETY_ANALYSIS;

    options options_;
    http_request request_;
    mutable mutex mutex_;
    phase phase_ ABSL_GUARDED_BY(mutex_){phase::waiting};
    bool is_suspended_ ABSL_GUARDED_BY(mutex_){false};
    bool is_data_ready_ ABSL_GUARDED_BY(mutex_){false};
    bool is_aborted_ ABSL_GUARDED_BY(mutex_){false};
    bool is_disconnected_ ABSL_GUARDED_BY(mutex_){false};
    http_response response_ ABSL_GUARDED_BY(mutex_);
    std::optional<std::uint64_t> content_bytes_ ABSL_GUARDED_BY(mutex_);
    std::shared_ptr<body_buffer> buffer_ ABSL_GUARDED_BY(mutex_);
    std::function<void()> on_disconnect_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
