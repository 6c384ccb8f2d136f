#pragma once

#include <cstddef>
#include <string>

namespace berylcrank::testing {

/** A TCP connection that sends and reads plain bytes, for HTTP that no library would send. Every wait ends
    after `limit_ms` by failing the test. */
class raw_connection {
public:
    explicit raw_connection(int socket) : socket_(socket) {}
    ~raw_connection();
    raw_connection(raw_connection&& other) noexcept;
    raw_connection& operator=(raw_connection&&) = delete;
    raw_connection(const raw_connection&) = delete;

    /** Connects to "address:port". */
    static raw_connection to(const std::string& address);

    /** Sends all bytes; false if the peer has closed. */
    bool send(const std::string& bytes) const;

    /** Reads up to and with `end`; what follows is kept for the next read. Throws at the end of the stream.
     */
    std::string read_until(const std::string& end);

    /** Reads exactly `n` bytes. Throws at the end of the stream. */
    std::string read(std::size_t n);

    /** Reads a head and a body of its Content-Length. Throws at the end of the stream. */
    std::string read_message();

    /** Reads to the end of the stream, or to a reset. */
    std::string read_all();

    /** True if the peer closes or resets within the limit; bytes before that are dropped. */
    bool wait_closed();

    /** Closes with a reset instead of an orderly end. */
    void reset();

    void close();

private:
    bool receive();

    int socket_;
    std::string kept_;
};

/** Listens on a port chosen by the kernel. @see raw_connection */
class raw_listener {
public:
    raw_listener();
    ~raw_listener();
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    [[nodiscard]] std::string address() const;

    /** Waits for a connection; throws after `limit_ms`. */
    [[nodiscard]] raw_connection accept(int limit_ms = 10000) const;

    /** True if no connection comes within `limit_ms`. */
    [[nodiscard]] bool stays_quiet(int limit_ms) const;

private:
    int socket_;
};

/** The value of a header in the text of a message; empty if there is none. */
std::string header_in(const std::string& message, const std::string& name);

} // namespace berylcrank::testing
