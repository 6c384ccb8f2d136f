#include "modules/berylcrank_rpc/peer/peer_connections.h"

namespace berylcrank {

peer_connections::entry peer_connections::get(const std::string& address) {
    auto& cached = connections_[address];
    if (cached.connection.get() == nullptr) {
        cached.serial = next_serial_++;
        // A separate task, because the connection must not be destroyed within its own callback.
        auto on_disconnect = [this, address, serial = cached.serial] {
            tasks_.add(kj::evalLater([this, address, serial] { remove(address, serial); }));
        };
        cached.connection = kj::refcounted<peer_connection>(context_, address, std::move(on_disconnect));
    }
    return {.connection = kj::addRef(*cached.connection), .serial = cached.serial};
}

void peer_connections::remove(const std::string& address, std::uint64_t serial) {
    const auto it = connections_.find(address);
    if (it != connections_.end() && it->second.serial == serial) {
        connections_.erase(it);
    }
}

} // namespace berylcrank
