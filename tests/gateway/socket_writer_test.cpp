#include "modules/berylcrank_gateway/http/socket_writer.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

namespace berylcrank {

namespace {

using boost::asio::ip::tcp;

// Two connected sockets on loopback.
struct socket_pair {
    socket_pair() : near(io), far(io) {
        tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
        near.connect(acceptor.local_endpoint());
        acceptor.accept(far);
        near.non_blocking(true);
    }

    boost::asio::io_context io;
    tcp::socket near;
    tcp::socket far;
};

// Models a connection that owns its writer and that the handlers of its writes keep alive.
struct writer_owner {
    explicit writer_owner(tcp::socket& socket) : writer(socket) {}
    socket_writer writer;
};

} // namespace

// Guards against a leak: the handler of the last write keeps a reference to its own connection.
TEST_CASE("socket writer, all bytes written, releases the handler that references its owner") {
    socket_pair sockets;
    auto owner = std::make_shared<writer_owner>(sockets.near);
    const std::weak_ptr<writer_owner> watch = owner;
    int calls = 0;
    owner->writer.write("response", owner, [owner, &calls](bool ok) { calls += ok ? 1 : 100; });
    CHECK(calls == 1);
    owner.reset();
    CHECK(watch.expired());
}

TEST_CASE("socket writer, socket that failed, releases the handler and reports the failure once") {
    socket_pair sockets;
    sockets.near.close();
    auto owner = std::make_shared<writer_owner>(sockets.near);
    const std::weak_ptr<writer_owner> watch = owner;
    int failures = 0;
    owner->writer.write("response", owner, [owner, &failures](bool ok) { failures += ok ? 100 : 1; });
    CHECK(failures == 1);
    owner->writer.write("more", owner, [owner, &failures](bool ok) { failures += ok ? 100 : 1; });
    CHECK(failures == 2);
    owner.reset();
    CHECK(watch.expired());
}

} // namespace berylcrank
