#include "modules/berylcrank_core/identity/incarnation.h"

#include "absl/strings/str_cat.h"

namespace berylcrank {

std::string to_hex(incarnation run) {
    return absl::StrCat(absl::Hex(run.value, absl::kZeroPad16));
}

} // namespace berylcrank
