#include "modules/berylcrank_core/identity/id_minter.h"

#include "absl/strings/str_cat.h"

#include <array>
#include <xxhash.h>

namespace berylcrank {

std::string id_minter::mint_prefix(instant now) {
    const auto serial = next_serial_.fetch_add(1);
    const auto mint_ms = now.since_start().count();
    return absl::StrCat(to_hex(options_.self), "-", absl::Hex(mint_ms), "-", absl::Hex(serial), "-",
                        absl::Hex(compute_check(mint_ms, serial)));
}

bool id_minter::is_genuine(const request_id& id) const {
    return id.home == options_.self && id.check == compute_check(id.minted.since_start().count(), id.serial);
}

std::uint64_t id_minter::compute_check(std::int64_t mint_ms, std::uint64_t serial) const {
    const std::array<std::uint64_t, 3> words{options_.self.value, static_cast<std::uint64_t>(mint_ms),
                                             serial};
    return XXH3_64bits_withSeed(words.data(), sizeof(words), options_.secret);
}

} // namespace berylcrank
