#include "modules/berylcrank_suspect/table/request_fingerprint.h"

#include <array>
#include <xxhash.h>

namespace berylcrank {

request_fingerprints fingerprints_of(const request_identity& it) {
    // Hashes each field on its own, so that no two identities are equal when joined.
    const std::array fields{it.method, it.host, it.target, it.body, it.caller};
    std::array<XXH64_hash_t, fields.size()> hashes{};
    for (std::size_t n = 0; n < fields.size(); ++n) {
        hashes[n] = XXH3_64bits(fields[n].data(), fields[n].size());
    }
    constexpr auto without_caller = sizeof(hashes) - sizeof(hashes[0]);
    return {.of_caller = XXH3_64bits(hashes.data(), sizeof(hashes)),
            .of_request = XXH3_64bits(hashes.data(), without_caller)};
}

} // namespace berylcrank
