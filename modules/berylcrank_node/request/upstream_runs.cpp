#include "modules/berylcrank_node/request/upstream_runs.h"

#include <xxhash.h>

namespace berylcrank {

std::uint32_t upstream_runs::number_of(std::string_view upstream) {
    return static_cast<std::uint32_t>(XXH3_64bits(upstream.data(), upstream.size()));
}

void upstream_runs::on_response(std::string_view upstream, std::string_view incarnation, instant now) {
    const auto run = incarnation.empty() ? 0 : XXH3_64bits(incarnation.data(), incarnation.size());
    const lock_guard hold(mutex_);
    entries_[number_of(upstream)] = {.run = run, .responded_at = now};
}

std::uint64_t upstream_runs::run_of(std::string_view upstream) const {
    const lock_guard hold(mutex_);
    const auto it = entries_.find(number_of(upstream));
    return it == entries_.end() ? 0 : it->second.run;
}

bool upstream_runs::has_survived(const upstream_loss& it) const {
    const lock_guard hold(mutex_);
    const auto found = entries_.find(it.upstream);
    return it.run != 0 && found != entries_.end() && found->second.run == it.run &&
           found->second.responded_at > it.lost_at;
}

} // namespace berylcrank
