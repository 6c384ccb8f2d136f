#include "modules/berylcrank_core/identity/incarnation.h"

#include "absl/strings/str_cat.h"

namespace berylcrank {

std::string to_hex(incarnation it) {
    return absl::StrCat(absl::Hex(it.value, absl::kZeroPad16));
}

} // namespace berylcrank
