#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_gateway/http/message_head.h"

#include <functional>
#include <memory>
#include <string>

namespace berylcrank {

class server_connection;

/** One request of a caller and the way its response goes back. Responses of one connection leave in the order
   of the requests, whatever the order in which they are made.

    @see server_connection, request_handler
*/
class exchange : public std::enable_shared_from_this<exchange> {
public:
    exchange(const std::shared_ptr<server_connection>& connection, request_head request, std::string content,
             instant when)
        : head(std::move(request)), body(std::move(content)), received(when), connection_(connection) {}

    const request_head head;
    const std::string body;
    const instant received; ///< When its last byte arrived.

    /** Called once if the caller leaves before the response is complete. */
    std::function<void()> on_gone;
    /** Called when bytes that were held back have left. */
    std::function<void()> on_drained;

    /** Begins the response. Without a length, the body goes out in chunks. */
    void begin(int status, std::string_view reason, const header_list& headers,
               std::optional<std::uint64_t> length);
    /** Appends to the body. */
    void append(std::string_view bytes);
    /** Ends the response. */
    void finish();
    /** Begins, fills and ends the response. */
    void respond(int status, std::string_view reason, const header_list& headers, std::string_view content);
    /** Breaks the connection, so that what was sent cannot be taken for a whole response. */
    void abort();

    [[nodiscard]] bool begun() const { return begun_; }
    [[nodiscard]] bool finished() const { return finished_; }
    [[nodiscard]] bool gone() const { return gone_; }
    /** Bytes of the response that have not left yet. */
    [[nodiscard]] std::size_t backlog() const;
    /** Whether earlier requests of the same connection still wait for their responses. */
    [[nodiscard]] bool is_behind() const;

private:
    friend class server_connection;

    void push(std::string_view bytes);
    void caller_left();

    std::weak_ptr<server_connection> connection_;
    std::string out_;
    bool begun_{false};
    bool chunked_{false};
    bool bodyless_{false};
    bool finished_{false};
    bool gone_{false};
    bool close_after_{false};
};

using exchange_ptr = std::shared_ptr<exchange>;

/** What answers the requests of a listener. */
class request_handler {
public:
    request_handler() = default;
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;
    virtual ~request_handler() = default;

    /** Takes a request; the response may follow later. */
    virtual void handle(const exchange_ptr& it) = 0;

    /** Whether responses ask the caller to close the connection. */
    [[nodiscard]] virtual bool closing() const { return false; }
};

/** The standard reason phrase of a status that this program makes itself. */
std::string_view reason_phrase(int status);

} // namespace berylcrank
