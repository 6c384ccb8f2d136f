#include "modules/berylcrank_http/server/listen_socket.h"

#include <cerrno>
#include <cstring>
#include <memory>
#include <netdb.h>
#include <sys/socket.h>
#include <unistd.h>

namespace berylcrank {

namespace {

// Long enough for a burst of new connections while all server threads are busy.
constexpr int backlog_connections = 1024;

using address_list = std::unique_ptr<addrinfo, decltype(&freeaddrinfo)>;

address_list resolve_numeric(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return {nullptr, &freeaddrinfo};
    }
    auto host = address.substr(0, colon);
    if (host.size() > 1 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    addrinfo hints{};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo* found = nullptr;
    if (getaddrinfo(host.c_str(), address.c_str() + colon + 1, &hints, &found) != 0) {
        found = nullptr;
    }
    return {found, &freeaddrinfo};
}

} // namespace

boost::leaf::result<int> open_listen_socket(const std::string& address) {
    const auto list = resolve_numeric(address);
    if (!list) {
        return boost::leaf::new_error("\"" + address + "\" is not an IP address and port");
    }
    const int fd = socket(list->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
        bind(fd, list->ai_addr, list->ai_addrlen) != 0 || listen(fd, backlog_connections) != 0) {
        const auto reason = std::error_code(errno, std::generic_category()).message();
        if (fd >= 0) {
            close(fd);
        }
        return boost::leaf::new_error("cannot listen on " + address + ": " + reason);
    }
    return fd;
}

std::string bound_address(int socket) {
    sockaddr_storage address{};
    socklen_t n = sizeof(address);
    char host[NI_MAXHOST];
    char port[NI_MAXSERV];
    if (getsockname(socket, reinterpret_cast<sockaddr*>(&address), &n) != 0 ||
        getnameinfo(reinterpret_cast<sockaddr*>(&address), n, host, sizeof(host), port, sizeof(port),
                    NI_NUMERICHOST | NI_NUMERICSERV) != 0) {
        return {};
    }
    const std::string name = address.ss_family == AF_INET6 ? "[" + std::string(host) + "]" : host;
    return name + ":" + port;
}

} // namespace berylcrank
