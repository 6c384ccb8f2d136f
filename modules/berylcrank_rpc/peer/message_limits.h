#pragma once

#include <capnp/message.h>
#include <kj/debug.h>

#include <cstddef>

namespace berylcrank {

/** Size limits of RPC messages. A receiver closes the connection on which a larger message arrives.

    @see peer_endpoint::options
*/
class message_limits {
public:
    explicit message_limits(std::size_t message_bytes) : words_(message_bytes / sizeof(capnp::word)) {}

    /** Returns the options for reading messages. The traversal limit also bounds the size on the wire. */
    [[nodiscard]] capnp::ReaderOptions reader_options() const {
        return {.traversalLimitInWords = words_ + rpc_overhead_words, .nestingLimit = max_nesting};
    }

    /** Throws `kj::Exception` if a message of this size is too large to send. */
    void check(capnp::MessageSize size) const {
        KJ_REQUIRE(size.wordCount <= words_, "RPC message is too large", size.wordCount, words_);
    }

    /** Returns the flow limit of a connection: reading pauses while its unfinished calls exceed this number
        of words. */
    [[nodiscard]] std::size_t flow_limit_words() const { return 2 * words_; }

private:
    /** Allowance for the RPC layer's own part of a message. */
    static constexpr std::size_t rpc_overhead_words = 1024;
    /** Above the deepest nesting of any message in schema/peer.capnp, including the RPC layer's part. */
    static constexpr int max_nesting = 16;

    std::size_t words_;
};

} // namespace berylcrank
