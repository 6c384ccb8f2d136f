#pragma once

#include <cstddef>
#include <string>

namespace berylcrank::testing {

/** A TCP connection that sends and receives raw bytes, for HTTP messages that an HTTP library would not send.
    A read that receives nothing for 10 s throws `std::runtime_error`. */
class raw_connection {
public:
    explicit raw_connection(int socket) : socket_(socket) {}
    ~raw_connection();
    raw_connection(raw_connection&& other) noexcept;
    raw_connection& operator=(raw_connection&&) = delete;
    raw_connection(const raw_connection&) = delete;

    /** Connects to the port of `address` ("host:port") on loopback. Throws `std::runtime_error` if that
        fails. */
    static raw_connection to(const std::string& address);

    /** Connects like `to`, with a receive buffer of about `bytes`, for a client that reads slowly. */
    static raw_connection with_receive_buffer(const std::string& address, int bytes);

    /** Sends all bytes. Returns false on an error, e.g. if the peer has closed the connection. */
    bool send(const std::string& bytes) const;

    /** Reads up to and including `end`. Later bytes stay buffered for the next read. Throws at the end of the
        stream. */
    std::string read_until(const std::string& end);

    /** Reads exactly `n` bytes. Throws at the end of the stream. */
    std::string read(std::size_t n);

    /** Reads a message head, and the body if the head has a Content-Length. Throws at the end of the
        stream. */
    std::string read_message();

    /** Reads until the peer closes or resets the connection. */
    std::string read_all();

    /** Discards received bytes until the peer closes or resets the connection. Returns false if the peer
        sends nothing for 10 s. */
    bool wait_closed();

    /** Closes the connection with a TCP reset. */
    void reset();

    void close();

private:
    bool receive();

    int socket_;
    std::string buffer_;
};

/** Listens on a loopback port that the kernel chooses. @see raw_connection */
class raw_listener {
public:
    /** Throws `std::runtime_error` if it cannot listen. */
    raw_listener();
    ~raw_listener();
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    /** Returns the address as "127.0.0.1:port". */
    [[nodiscard]] std::string address() const;

    /** Waits for a connection. Throws `std::runtime_error` after `timeout_ms`. */
    [[nodiscard]] raw_connection accept(int timeout_ms = 10000) const;

    /** Returns true if no connection arrives within `timeout_ms`. */
    [[nodiscard]] bool receives_no_connection(int timeout_ms) const;

private:
    int socket_;
};

/** Returns the value of a header in the text of a message, or an empty string if it is missing. Ignores the
    case of the name. */
std::string header_in(const std::string& message, const std::string& name);

} // namespace berylcrank::testing
