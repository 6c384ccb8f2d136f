#include "modules/berylcrank_rpc/peer/peer_connections.h"

namespace berylcrank {

peer_connections::entry peer_connections::get(const std::string& address) {
    auto& it = open_[address];
    if (it.connection.get() == nullptr) {
        it.serial = next_serial_++;
        // The connection must not be destroyed from within its own callback, hence the separate task.
        auto on_broken = [this, address, serial = it.serial] {
            tasks_.add(kj::evalLater([this, address, serial] { forget(address, serial); }));
        };
        it.connection = kj::refcounted<peer_connection>(context_, address, std::move(on_broken));
    }
    return {.connection = kj::addRef(*it.connection), .serial = it.serial};
}

void peer_connections::forget(const std::string& address, std::uint64_t serial) {
    const auto it = open_.find(address);
    if (it != open_.end() && it->second.serial == serial) {
        open_.erase(it);
    }
}

} // namespace berylcrank
