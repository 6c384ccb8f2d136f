#include "modules/berylcrank_routing/cold/group_of.h"

#include <xxhash.h>

namespace berylcrank {

std::uint32_t group_of(std::string_view upstream) {
    return static_cast<std::uint32_t>(XXH64(upstream.data(), upstream.size(), 0) % group_count);
}

} // namespace berylcrank
