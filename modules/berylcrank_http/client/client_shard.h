#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_http/client/transfer.h"
#include "modules/berylcrank_http/loop/event_loop.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <vector>

namespace berylcrank {

class curl_call;

/** The part of the client that runs on one event loop: a libcurl multi handle with its connections.

    @see curl_upstream_client, transfer
*/
class client_shard final : public event_handler, public std::enable_shared_from_this<client_shard> {
public:
    enum class command : std::uint8_t { start, resume, cancel };

    client_shard(const upstream_client::options& opts, event_loop& loop);
    ~client_shard() override;
    client_shard(const client_shard&) = delete;
    client_shard& operator=(const client_shard&) = delete;

    /** Registers with the event loop. */
    void open();

    /** Cancels all attempts and unregisters from the event loop. */
    void close();

    /** Queues a command for the loop's thread. Returns false if the shard is closed. Thread-safe. */
    bool post(command type, std::shared_ptr<curl_call> call);

    [[nodiscard]] const event_loop& loop() const { return loop_; }

    void on_ready(int fd, std::uint32_t events) override;
    std::optional<time_point> process_due(time_point now) override;

private:
    struct queued_command {
        command type;
        std::shared_ptr<curl_call> call;
    };
    using steady = transfer::steady;

    /** State of a socket in the loop's epoll set. */
    struct watched_socket {
        std::uint32_t events{0};
        bool is_idle{false}; ///< libcurl no longer polls it, but the next request will.
    };

    static int on_socket(CURL* easy, curl_socket_t socket, int what, void* self, void* socket_data);
    static curl_socket_t on_open_socket(void* self, curlsocktype purpose, curl_sockaddr* address);
    static int on_close_socket(void* self, curl_socket_t socket);
    static int on_timer(CURLM* multi, long timeout_ms, void* self);

    void run_socket_action(curl_socket_t socket, int events);
    void run_timer();
    void run_commands();
    void shut_down();
    void start(const std::shared_ptr<curl_call>& call);
    void finish_completed();
    void finish_timed_out();
    void finish(std::shared_ptr<curl_call> call, CURLcode code, std::optional<attempt_end> forced);

    upstream_client::options options_;
    event_loop& loop_;
    CURLM* multi_;

    // Accessed only on the loop's thread.
    unsigned handler_id_{0};
    std::optional<steady::time_point> curl_timer_;
    steady::time_point next_check_;
    absl::flat_hash_set<std::shared_ptr<curl_call>> active_;
    absl::flat_hash_map<curl_socket_t, watched_socket> sockets_;
    std::vector<std::unique_ptr<transfer>> idle_transfers_;
    std::vector<queued_command> running_commands_;

    mutex mutex_;
    std::vector<queued_command> commands_ ABSL_GUARDED_BY(mutex_);
    bool is_closed_ ABSL_GUARDED_BY(mutex_){false};
};

/** One attempt, executed by a client_shard. @see client_shard */
class curl_call final : public upstream_call, public std::enable_shared_from_this<curl_call> {
public:
    curl_call(std::weak_ptr<client_shard> shard, upstream_request request,
              std::shared_ptr<upstream_observer> observer);

    void resume() override;
    void cancel() override;

private:
    friend class client_shard;

    std::weak_ptr<client_shard> shard_;
    transfer::steady::time_point started_;

    // Accessed only on the shard's thread after the call has been posted.
    upstream_request request_;
    std::shared_ptr<upstream_observer> observer_;
    std::unique_ptr<transfer> transfer_;
};

} // namespace berylcrank
