#pragma once

#include <capnp/message.h>
#include <kj/debug.h>

#include <cstddef>

namespace berylcrank {

/** Limits on RPC messages. The receiver closes a connection on which a larger message arrives.

    @see peer_endpoint::options
*/
class message_limits {
public:
    explicit message_limits(std::size_t message_bytes) : words_(message_bytes / sizeof(capnp::word)) {}

    /** For reading. The traversal limit also bounds the size on the wire. */
    [[nodiscard]] capnp::ReaderOptions reader_options() const {
        return {.traversalLimitInWords = words_ + envelope_words, .nestingLimit = nesting};
    }

    /** Throws `kj::Exception` if the content is too large to be sent. */
    void check(capnp::MessageSize it) const {
        KJ_REQUIRE(it.wordCount <= words_, "RPC message is too large", it.wordCount, words_);
    }

    /** Words of unanswered calls after which no more is read from a connection. */
    [[nodiscard]] std::size_t flow_words() const { return 2 * words_; }

private:
    /** The RPC layer's own part of a message. */
    static constexpr std::size_t envelope_words = 1024;
    /** Deepest nesting of any message in schema/peer.capnp, with the RPC layer's part, is below this. */
    static constexpr int nesting = 16;

    std::size_t words_;
};

} // namespace berylcrank
