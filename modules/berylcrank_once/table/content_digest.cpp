#include "modules/berylcrank_once/table/content_digest.h"

#include <array>
#include <string_view>
#include <xxhash.h>

namespace berylcrank {

content_digest digest_of(const order_request& it) {
    // Hashes each field separately: a hash of the concatenated fields would not change if bytes moved from
    // one field to the next.
    std::array<XXH128_hash_t, 4> field_hashes{};
    const std::array<std::string_view, 4> fields{it.service, it.method, it.path, it.body};
    for (std::size_t n = 0; n < fields.size(); ++n) {
        field_hashes[n] = XXH3_128bits(fields[n].data(), fields[n].size());
    }
    const auto combined = XXH3_128bits(field_hashes.data(), sizeof(field_hashes));
    return {.low = combined.low64, .high = combined.high64};
}

} // namespace berylcrank
