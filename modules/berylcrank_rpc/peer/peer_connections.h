#pragma once

#include "modules/berylcrank_rpc/peer/once_callback.h"
#include "modules/berylcrank_rpc/peer/peer_connection.h"

#include "absl/container/flat_hash_map.h"

#include <memory>
#include <string>

namespace berylcrank {

/** Connections to other nodes, one per address. Used only on the RPC thread.

    A connection is removed if it breaks, if a call on it fails, or if a call times out during which nothing
    was received on it. The next call then opens a new connection. Calls in progress keep the old connection
    until they end.
    @see peer_connection
*/
class peer_connections {
public:
    /** The references in `context`, and `tasks`, must outlive this object. */
    peer_connections(const connection_context& context, kj::TaskSet& tasks)
        : context_(context), tasks_(tasks) {}

    /** Makes a call. `send(client)` must return a promise of the decoded response. */
    template <typename Response, typename Send>
    void call(const std::string& address, millis timeout, std::shared_ptr<once_callback<Response>> done,
              Send send);

private:
    struct entry {
        kj::Own<peer_connection> connection;
        std::uint64_t serial{0};
    };

    /** Returns the connection to `address`, opening it if there is none. */
    entry get(const std::string& address);
    void remove(const std::string& address, std::uint64_t serial);

    connection_context context_;
    kj::TaskSet& tasks_;
    absl::flat_hash_map<std::string, entry> connections_;
    std::uint64_t next_serial_{1};
};

template <typename Response, typename Send>
void peer_connections::call(const std::string& address, millis timeout,
                            std::shared_ptr<once_callback<Response>> done, Send send) {
    auto target = get(address);
    auto& connection = *target.connection;
    const auto received = connection.received();
    auto response =
        connection.ready()
            .then([&connection, send = std::move(send)]() mutable { return send(connection.peer()); })
            .then([done](Response&& value) { done->call(peer_failure::none, std::move(value)); });
    auto timed_out = context_.io.provider->getTimer()
                         .afterDelay(timeout.micros() * kj::MICROSECONDS)
                         .then([this, address, serial = target.serial, &connection, received, done] {
                             if (connection.received() == received) {
                                 remove(address, serial);
                             }
                             done->call(peer_failure::no_response, {});
                         });
    auto failed = [this, address, serial = target.serial, &connection, done](const kj::Exception& exception) {
        const bool is_well_formed = exception.getType() != kj::Exception::Type::FAILED;
        remove(address, serial);
        done->call(connection.is_refused() ? peer_failure::refused
                   : is_well_formed        ? peer_failure::no_response
                                           : peer_failure::invalid,
                   {});
    };
    tasks_.add(response.exclusiveJoin(kj::mv(timed_out))
                   .catch_([failed = std::move(failed)](kj::Exception&& exception) { failed(exception); })
                   .attach(kj::mv(target.connection)));
}

} // namespace berylcrank
