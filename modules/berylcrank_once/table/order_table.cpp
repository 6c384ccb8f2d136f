#include "modules/berylcrank_once/table/order_table.h"

#include "modules/berylcrank_once/table/order_shard.h"

#include "absl/hash/hash.h"

#include <algorithm>
#include <bit>

namespace berylcrank {

order_table::order_table(options it) : options_(it) {
    const auto n = std::bit_ceil(std::max(it.shards, 1U));
    options_.shards = n;
    auto shard_options = options_;
    shard_options.max_entries = std::max<std::size_t>(it.max_entries / n, 1);
    shard_options.max_bytes = it.max_bytes / n;
    for (unsigned i = 0; i < n; ++i) {
        shards_.push_back(std::make_unique<order_shard>(shard_options));
    }
}

order_table::~order_table() = default;

admit_result order_table::admit(const request_id& id, const content_digest& digest, instant deadline,
                                instant now, order_waiter waiter) {
    return shard_of(id).admit(id, digest, deadline, now, std::move(waiter));
}

bool order_table::is_pending(const request_id& id, instant now) {
    return shard_of(id).is_pending(id, now);
}

std::optional<std::uint32_t> order_table::begin_dispatch(const request_id& id, instant now) {
    return shard_of(id).begin_dispatch(id, now);
}

bool order_table::attempt_not_run(const request_id& id, std::uint32_t attempt) {
    return shard_of(id).attempt_not_run(id, attempt);
}

bool order_table::finish(const request_id& id, std::uint32_t attempt, order_response response) {
    return shard_of(id).finish(id, attempt, std::move(response));
}

refuse_result order_table::refuse(const request_id& id, order_response response) {
    return shard_of(id).refuse(id, std::move(response));
}

void order_table::tick(instant now) {
    for (const auto& it : shards_) {
        it->tick(now);
    }
}

order_table::counters order_table::count() const {
    counters sum;
    for (const auto& it : shards_) {
        it->add_to(sum);
    }
    return sum;
}

instant order_table::refuse_horizon(const request_id& id) const {
    return shard_of(id).refuse_horizon();
}

order_shard& order_table::shard_of(const request_id& id) const {
    // Selects the shard by high bits of the hash because the low bits select the slot in its hash map.
    constexpr unsigned shift = 40;
    const auto hash = absl::Hash<std::pair<std::uint64_t, std::uint64_t>>{}({id.serial, id.number});
    return *shards_[(hash >> shift) & (options_.shards - 1)];
}

} // namespace berylcrank
