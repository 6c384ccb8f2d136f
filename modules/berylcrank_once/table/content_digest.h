#pragma once

#include "modules/berylcrank_once/message/order_message.h"

#include <cstdint>

namespace berylcrank {

/** Digest of what an order asks for; two copies of one id must have the same. @see digest_of */
struct content_digest {
    std::uint64_t low{0};
    std::uint64_t high{0};

    bool operator==(const content_digest&) const = default;
};

/** Digest of service, method, path and body. Headers and timeout may differ between copies. */
content_digest digest_of(const order_request& it);

} // namespace berylcrank
