#pragma once

#include "modules/berylcrank_once/message/order_message.h"

#include <cstdint>

namespace berylcrank {

/** 128-bit digest of the content of an order. All copies of an order must have equal digests.
    @see digest_of */
struct content_digest {
    std::uint64_t low{0};
    std::uint64_t high{0};

    bool operator==(const content_digest&) const = default;
};

/** Returns the digest of the service, method, path and body. Headers and timeout are left out because they
    may differ between copies. */
content_digest digest_of(const order_request& it);

} // namespace berylcrank
