#include "modules/berylcrank_once/table/content_digest.h"

#include <array>
#include <string_view>
#include <xxhash.h>

namespace berylcrank {

content_digest digest_of(const order_request& it) {
    // Each part is hashed on its own, so that bytes cannot move from one part to the next unnoticed.
    std::array<XXH128_hash_t, 4> parts{};
    const std::array<std::string_view, 4> texts{it.service, it.method, it.path, it.body};
    for (std::size_t n = 0; n < texts.size(); ++n) {
        parts[n] = XXH3_128bits(texts[n].data(), texts[n].size());
    }
    const auto whole = XXH3_128bits(parts.data(), sizeof(parts));
    return {.low = whole.low64, .high = whole.high64};
}

} // namespace berylcrank
