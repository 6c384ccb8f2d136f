#include "modules/berylcrank_rpc/peer/rpc_endpoint.h"

#include "modules/berylcrank_rpc/peer/peer_codec.h"
#include "modules/berylcrank_rpc/peer/peer_loop.h"

#include <future>

namespace berylcrank {

rpc_endpoint::~rpc_endpoint() {
    queue_->close();
    if (thread_.joinable()) {
        thread_.join();
    }
}

bool rpc_endpoint::start(const options& opts, peer_service& service, std::string& error) {
    std::promise<std::string> started;
    auto result = started.get_future();
    thread_ = std::thread([this, opts, &service, started = std::move(started)]() mutable {
        run(opts, service, std::move(started));
    });
    error = result.get();
    return error.empty();
}

void rpc_endpoint::run(const options& opts, peer_service& service, std::promise<std::string> started) {
    std::unique_ptr<peer_loop> loop;
    try {
        loop = std::make_unique<peer_loop>(opts, service, queue_, traffic_);
        loop_ = loop.get();
        address_ = with_port(opts.address, loop->port());
        started.set_value("");
    } catch (const kj::Exception& exception) {
        started.set_value("cannot listen on " + opts.address + ": " + exception.getDescription().cStr());
        return;
    }
    loop->run();
}

template <typename Response, typename Send>
void rpc_endpoint::post_call(const std::string& address, millis timeout, response_callback<Response> done,
                             Send send) {
    auto once = std::make_shared<once_callback<Response>>(std::move(done));
    queue_->post([this, address, timeout, once = std::move(once), send = std::move(send)] {
        loop_->connections().call<Response>(address, timeout, once, [this, send](schema::Peer::Client to) {
            return send(std::move(to), loop_->limits());
        });
    });
}

void rpc_endpoint::gossip(const std::string& address, gossip_message message, millis timeout,
                          response_callback<gossip_message> done) {
    post_call(address, timeout, std::move(done),
              [message = std::move(message)](schema::Peer::Client to, const message_limits& limits) {
                  auto request = to.gossipRequest();
                  encode(message, request.initMessage());
                  limits.check(request.totalSize());
                  return request.send().then([](auto&& response) { return decode(response.getReply()); });
              });
}

void rpc_endpoint::pull_state(const std::string& address, std::uint64_t from_offset, millis timeout,
                              response_callback<std::string> done) {
    post_call(address, timeout, std::move(done),
              [from_offset](schema::Peer::Client to, const message_limits& /*limits*/) {
                  auto request = to.pullStateRequest();
                  request.setFromOffset(from_offset);
                  return request.send().then([](auto&& response) { return decode(response.getDelta()); });
              });
}

void rpc_endpoint::relay_order(const std::string& address, order_request order, millis timeout,
                               response_callback<order_response> done) {
    post_call(address, timeout, std::move(done),
              [order = std::move(order)](schema::Peer::Client to, const message_limits& limits) {
                  auto request = to.relayOrderRequest();
                  encode(order, request.initRequest());
                  limits.check(request.totalSize());
                  return request.send().then([](auto&& response) { return decode(response.getAnswer()); });
              });
}

void rpc_endpoint::acquire_permit(const std::string& address, incarnation requester, std::string upstream,
                                  request_class kind, millis timeout,
                                  response_callback<permit_response> done) {
    post_call(address, timeout, std::move(done),
              [requester, upstream = std::move(upstream), kind](schema::Peer::Client to,
                                                                const message_limits& limits) {
                  auto request = to.acquirePermitRequest();
                  request.setIncarnation(requester.value);
                  request.setUpstream({upstream.c_str(), upstream.size()});
                  request.setRequestClass(static_cast<std::uint16_t>(kind));
                  limits.check(request.totalSize());
                  return request.send().then([](auto&& response) { return decode(response.getAnswer()); });
              });
}

void rpc_endpoint::release_permit(const std::string& address, permit_release release, millis timeout,
                                  response_callback<bool> done) {
    post_call(address, timeout, std::move(done),
              [release = std::move(release)](schema::Peer::Client to, const message_limits& limits) {
                  auto request = to.releasePermitRequest();
                  // The request is itself a builder for its parameters.
                  encode(release, static_cast<schema::Peer::ReleasePermitParams::Builder&>(request));
                  limits.check(request.totalSize());
                  return request.send().then([](auto&&) { return true; });
              });
}

void rpc_endpoint::report_crash(const std::string& address, std::vector<crash_report> reports, millis timeout,
                                response_callback<bool> done) {
    post_call(address, timeout, std::move(done),
              [reports = std::move(reports)](schema::Peer::Client to, const message_limits& limits) {
                  auto request = to.reportCrashRequest();
                  auto list = request.initCrashes(static_cast<capnp::uint>(reports.size()));
                  for (capnp::uint n = 0; n < list.size(); ++n) {
                      encode(reports[n], list[n]);
                  }
                  limits.check(request.totalSize());
                  return request.send().then([](auto&&) { return true; });
              });
}

std::unique_ptr<peer_endpoint> make_peer_endpoint(const peer_endpoint::options& opts, peer_service& service,
                                                  std::string& error) {
    auto out = std::make_unique<rpc_endpoint>();
    return out->start(opts, service, error) ? std::move(out) : nullptr;
}

} // namespace berylcrank
