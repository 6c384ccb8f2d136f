#include "modules/berylcrank_rpc/peer/peer_connection.h"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace berylcrank {

namespace {

kj::Exception connect_error(int error) {
    return KJ_EXCEPTION(DISCONNECTED, "connection to another node failed", error);
}

} // namespace

peer_connection::peer_connection(const connection_context& context, const std::string& address,
                                 std::function<void()> on_disconnect)
    : context_(context), on_disconnect_(std::move(on_disconnect)),
      ready_(kj::evalNow([&] { return connect(address); }).fork()) {}

schema::Peer::Client peer_connection::peer() {
    return KJ_REQUIRE_NONNULL(peer_);
}

kj::Promise<void> peer_connection::connect(const std::string& address) {
    const auto to = parse_socket_address(address);
    KJ_REQUIRE(to.has_value(), "address of another node is malformed", address.c_str());
    const int raw = ::socket(to->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (raw < 0) {
        return connect_error(errno);
    }
    kj::AutoCloseFd fd(raw);
    const int on = 1;
    ::setsockopt(raw, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(raw, to->get(), to->length) != 0 && errno != EINPROGRESS) {
        is_refused_ = errno == ECONNREFUSED;
        return connect_error(errno);
    }
    auto observer = kj::heap<kj::UnixEventPort::FdObserver>(context_.io.unixEventPort, raw,
                                                            kj::UnixEventPort::FdObserver::OBSERVE_WRITE);
    auto writable = observer->whenBecomesWritable();
    return writable.then([this, fd = kj::mv(fd), observer = kj::mv(observer)]() mutable {
        // The stream observes the descriptor itself, so this observer must be destroyed first.
        observer = nullptr;
        int error = 0;
        socklen_t length = sizeof(error);
        ::getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0) {
            is_refused_ = error == ECONNREFUSED;
            kj::throwFatalException(connect_error(error));
        }
        start_rpc(fd.release());
    });
}

void peer_connection::start_rpc(int fd) {
    constexpr auto flags = kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP |
                           kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                           kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK;
    stream_ = std::make_unique<counting_stream>(context_.io.lowLevelProvider->wrapSocketFd(fd, flags),
                                                context_.traffic);
    auto& network =
        network_.emplace(*stream_, capnp::rpc::twoparty::Side::CLIENT, context_.limits.reader_options());
    auto& rpc = rpc_.emplace(capnp::makeRpcClient(network));
    capnp::MallocMessageBuilder message;
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    peer_ = rpc.bootstrap(vat).castAs<schema::Peer>();
    disconnect_watch_ = network.onDisconnect()
                            .then([this] { on_disconnect_(); }, [this](kj::Exception&&) { on_disconnect_(); })
                            .eagerlyEvaluate(nullptr);
}

} // namespace berylcrank
