#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_http/client/transfer.h"
#include "modules/berylcrank_http/loop/event_loop.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <vector>

namespace berylcrank {

class curl_call;

/** The part of the client on one event loop: a libcurl multi handle with its connections.

    @see curl_upstream_client, transfer
*/
class client_shard final : public event_handler, public std::enable_shared_from_this<client_shard> {
public:
    enum class command : std::uint8_t { start, resume, cancel };

    client_shard(const upstream_client::options& it, event_loop& loop);
    ~client_shard() override;
    client_shard(const client_shard&) = delete;
    client_shard& operator=(const client_shard&) = delete;

    /** Joins the loop. */
    void open();

    /** Cancels all attempts and leaves the loop. */
    void close();

    /** Hands a command to the loop's thread; false if the shard is closed. */
    bool post(command what, std::shared_ptr<curl_call> call);

    [[nodiscard]] const event_loop& loop() const { return loop_; }

    void on_ready(int fd, std::uint32_t events) override;
    std::optional<time_point> do_due(time_point now) override;

private:
    struct order {
        command what;
        std::shared_ptr<curl_call> call;
    };
    using steady = transfer::steady;

    /** A socket that the loop watches. */
    struct watched {
        std::uint32_t events{0};
        bool is_parked{false}; ///< Idle: libcurl has asked to stop, but the next request will need it again.
    };

    static int on_socket(CURL* easy, curl_socket_t socket, int what, void* self, void* known);
    static curl_socket_t on_open(void* self, curlsocktype purpose, curl_sockaddr* address);
    static int on_close(void* self, curl_socket_t socket);
    static int on_timer(CURLM* multi, long timeout_ms, void* self);

    void act(curl_socket_t socket, int events);
    void run_timer();
    void run_orders();
    void end();
    void start(const std::shared_ptr<curl_call>& call);
    void finish_done();
    void finish_overdue();
    void finish(std::shared_ptr<curl_call> call, CURLcode code, std::optional<attempt_end> forced);

    upstream_client::options options_;
    event_loop& loop_;
    CURLM* multi_;

    // Only for the loop's thread.
    unsigned number_{0};
    std::optional<steady::time_point> timer_;
    steady::time_point next_check_;
    absl::flat_hash_set<std::shared_ptr<curl_call>> active_;
    absl::flat_hash_map<curl_socket_t, watched> sockets_;
    std::vector<std::unique_ptr<transfer>> spare_;
    std::vector<order> taken_;

    mutex mutex_;
    std::vector<order> orders_ ABSL_GUARDED_BY(mutex_);
    bool is_closed_ ABSL_GUARDED_BY(mutex_){false};
};

/** An attempt of the client. @see client_shard */
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

    // Only for the shard's thread once the call is posted.
    upstream_request request_;
    std::shared_ptr<upstream_observer> observer_;
    std::unique_ptr<transfer> transfer_;
};

} // namespace berylcrank
