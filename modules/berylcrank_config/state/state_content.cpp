#include "modules/berylcrank_config/state/state_content.h"

#include "modules/berylcrank_config/state/ticket_rules.h"
#include "modules/berylcrank_config/ticket/canonical_bytes.h"

#include <algorithm>

namespace berylcrank {

ticket_outcome state_content::apply_ticket(const ticket& change, std::string_view schema_error,
                                           std::uint64_t offset, bool& duplicate) {
    const auto digest = digest_of(change);
    for (const auto& earlier : outcomes.find(change.number)) {
        if (earlier.digest == digest) {
            duplicate = true;
            return earlier;
        }
    }
    duplicate = false;
    auto reason = rejection_reason(change, schema_error, objects, outcomes);
    ticket_outcome out{.number = change.number,
                       .offset = offset,
                       .digest = digest,
                       .accepted = !reason.has_value(),
                       .reason = std::move(reason).value_or("")};
    if (out.accepted) {
        put_objects(change, offset);
    }
    outcomes.add(out);
    drop_old_removals();
    return out;
}

void state_content::merge(const state_content& other) {
    objects.merge(other.objects, covered, other.covered);
    outcomes.merge(other.outcomes, covered, other.covered);
    holders.merge(other.holders, covered, other.covered);
    covered = covered.merged(other.covered);
    dropped_end = std::max(dropped_end, other.dropped_end);
    drop_old_removals();
}

std::uint64_t state_content::digest() const {
    return canonical_bytes().add(objects.digest()).add(outcomes.digest()).add(holders.digest()).digest();
}

void state_content::put_objects(const ticket& change, std::uint64_t offset) {
    for (const auto& object : change.services) {
        objects.put({object_kind::service, object.name}, make_entry(object, change.number, offset));
    }
    for (const auto& object : change.failure_domains) {
        objects.put({object_kind::failure_domain, object.name}, make_entry(object, change.number, offset));
    }
    for (const auto& object : change.upstreams) {
        objects.put({object_kind::upstream, object.name}, make_entry(object, change.number, offset));
    }
    for (const auto& object : change.removals) {
        objects.put(object, make_removal(object, change.number, offset));
    }
}

void state_content::drop_old_removals() {
    // A state with a gap keeps its removals: they may have to override an older entry that another state
    // still has.
    if (!covered.has_gap() && covered.first == 0) {
        dropped_end = std::max(dropped_end, objects.drop_removals(outcomes.floor()));
    }
}

} // namespace berylcrank
