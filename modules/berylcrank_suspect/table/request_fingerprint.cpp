#include "modules/berylcrank_suspect/table/request_fingerprint.h"

#include <array>
#include <xxhash.h>

namespace berylcrank {

std::uint64_t fingerprint_of(const request_identity& it) {
    // Hashes each field on its own, so that no two identities are equal when joined.
    const std::array fields{it.method, it.host, it.target, it.caller, it.body};
    std::array<XXH64_hash_t, fields.size()> hashes{};
    for (std::size_t n = 0; n < fields.size(); ++n) {
        hashes[n] = XXH3_64bits(fields[n].data(), fields[n].size());
    }
    return XXH3_64bits(hashes.data(), sizeof(hashes));
}

} // namespace berylcrank
