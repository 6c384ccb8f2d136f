#pragma once

#include "modules/berylcrank_rpc/peer/once_callback.h"
#include "modules/berylcrank_rpc/peer/peer_connection.h"

#include "absl/container/flat_hash_map.h"

#include <memory>
#include <string>

namespace berylcrank {

/** The connections of one node to others, one for each address; used on the RPC thread.

    A connection that breaks, or on which nothing arrives during a call that times out, is forgotten: the next
    call opens a new one, while calls in progress keep the old one until they end.
*/
class peer_connections {
public:
    /** `context` and `tasks` must outlive this object's use. */
    peer_connections(const connection_context& context, kj::TaskSet& tasks)
        : context_(context), tasks_(tasks) {}

    /** Makes a call. `send(client)` returns the promise of the plain answer. */
    template <typename Answer, typename Send>
    void call(const std::string& address, millis timeout, std::shared_ptr<once_callback<Answer>> done,
              Send send);

private:
    struct entry {
        kj::Own<peer_connection> connection;
        std::uint64_t serial{0};
    };

    /** Opens a connection if there is none. */
    entry get(const std::string& address);
    void forget(const std::string& address, std::uint64_t serial);

    connection_context context_;
    kj::TaskSet& tasks_;
    absl::flat_hash_map<std::string, entry> open_;
    std::uint64_t next_serial_{1};
};

template <typename Answer, typename Send>
void peer_connections::call(const std::string& address, millis timeout,
                            std::shared_ptr<once_callback<Answer>> done, Send send) {
    auto it = get(address);
    auto& connection = *it.connection;
    const auto received = connection.received();
    auto answered =
        connection.ready()
            .then([&connection, send = std::move(send)]() mutable { return send(connection.peer()); })
            .then([done](Answer&& answer) { done->finish(peer_failure::none, std::move(answer)); });
    auto late = context_.io.provider->getTimer()
                    .afterDelay(timeout.micros() * kj::MICROSECONDS)
                    .then([this, address, serial = it.serial, &connection, received, done] {
                        if (connection.received() == received) {
                            forget(address, serial);
                        }
                        done->finish(peer_failure::no_response, {});
                    });
    auto failed = [this, address, serial = it.serial, &connection, done](const kj::Exception& why) {
        const bool is_readable = why.getType() != kj::Exception::Type::FAILED;
        forget(address, serial);
        done->finish(connection.is_refused() ? peer_failure::refused
                     : is_readable           ? peer_failure::no_response
                                             : peer_failure::invalid,
                     {});
    };
    tasks_.add(answered.exclusiveJoin(kj::mv(late))
                   .catch_([failed = std::move(failed)](kj::Exception&& why) { failed(why); })
                   .attach(kj::mv(it.connection)));
}

} // namespace berylcrank
