#include "modules/berylcrank_rpc/peer/peer_loop.h"

namespace berylcrank {

namespace {

kj::Own<kj::ConnectionReceiver> listen_on(kj::AsyncIoContext& io, const std::string& address) {
    const auto at = parse_socket_address(address);
    KJ_REQUIRE(at.has_value(), "not an IP address and port", address.c_str());
    return io.provider->getNetwork().getSockaddr(at->get(), at->length)->listen();
}

} // namespace

peer_loop::peer_loop(const peer_endpoint::options& opts, peer_service& service,
                     std::shared_ptr<task_queue> queue, std::atomic<std::uint64_t>& traffic)
    : limits_(opts.message_bytes), queue_(std::move(queue)), io_(kj::setupAsyncIo()),
      wakeups_(io_.lowLevelProvider->wrapInputFd(queue_->read_end(),
                                                 kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK)),
      tasks_(new kj::TaskSet(*this)),
      connections_({.io = io_, .traffic = traffic, .limits = limits_}, *tasks_),
      acceptor_({.limits = limits_}, listen_on(io_, opts.address),
                kj::heap<peer_server>(service, queue_, relays_, limits_), io_.provider->getTimer(), traffic,
                *tasks_) {}

peer_loop::~peer_loop() {
    // Calls and connections in progress use the other members.
    tasks_.reset();
}

void peer_loop::run() {
    run_tasks().wait(io_.waitScope);
    flush_responses();
}

void peer_loop::flush_responses() {
    constexpr auto step = 5 * kj::MILLISECONDS;
    constexpr int max_steps = 200; // Limits the delay by a node that does not read.
    for (int n = 0; n < max_steps && acceptor_.has_connections(); ++n) {
        // The first step also turns responses that were just produced into messages.
        io_.provider->getTimer().afterDelay(step).wait(io_.waitScope);
        if (!acceptor_.has_unsent_messages()) {
            return;
        }
    }
}

kj::Promise<void> peer_loop::run_tasks() {
    return wakeups_->tryRead(wakeup_bytes_.data(), 1, wakeup_bytes_.size()).then([this](size_t) {
        bool is_closed = false;
        for (const auto& task : queue_->take(is_closed)) {
            task();
        }
        return is_closed ? kj::Promise<void>(kj::READY_NOW) : run_tasks();
    });
}

void peer_loop::taskFailed(kj::Exception&& /*exception*/) {
    // A connection broke. Its calls have already been completed.
}

} // namespace berylcrank
