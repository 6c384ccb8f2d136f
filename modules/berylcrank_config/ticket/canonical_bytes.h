#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace berylcrank {

/** Builds the canonical byte sequence that a digest is computed from. Requires a little-endian host. */
class canonical_bytes {
public:
    canonical_bytes& add(std::uint64_t n) {
        bytes_.append(reinterpret_cast<const char*>(&n), sizeof(n));
        return *this;
    }

    canonical_bytes& add(std::string_view text) {
        add(static_cast<std::uint64_t>(text.size()));
        bytes_.append(text);
        return *this;
    }

    /** Adds a value with float precision, which is the precision that the schema stores. */
    canonical_bytes& add_float(double value) {
        const auto n = static_cast<float>(value);
        bytes_.append(reinterpret_cast<const char*>(&n), sizeof(n));
        return *this;
    }

    [[nodiscard]] std::uint64_t digest() const { return XXH3_64bits(bytes_.data(), bytes_.size()); }

private:
    std::string bytes_;
};

} // namespace berylcrank
