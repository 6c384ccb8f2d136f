#pragma once

#include "absl/container/flat_hash_map.h"

#include <functional>
#include <string>
#include <string_view>

namespace berylcrank {

/** Transparent hash of a string. Debian's Abseil does not support lookup by `std::string_view` by default. */
struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view it) const { return std::hash<std::string_view>{}(it); }
};

/** A hash map with string keys and lookup by `std::string_view` without a copy. */
template <typename T>
using string_map = absl::flat_hash_map<std::string, T, string_hash, std::equal_to<>>;

} // namespace berylcrank
