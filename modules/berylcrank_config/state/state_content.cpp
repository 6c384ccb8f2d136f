#include "modules/berylcrank_config/state/state_content.h"

#include "modules/berylcrank_config/state/ticket_rules.h"
#include "modules/berylcrank_config/ticket/canonical_bytes.h"

#include <algorithm>

namespace berylcrank {

ticket_outcome state_content::apply_ticket(const ticket& it, std::string_view fault, std::uint64_t offset,
                                           bool& duplicate) {
    const auto digest = digest_of(it);
    for (const auto& earlier : outcomes.find(it.number)) {
        if (earlier.digest == digest) {
            duplicate = true;
            return earlier;
        }
    }
    duplicate = false;
    auto reason = rejection_reason(it, fault, objects, outcomes);
    ticket_outcome out{.number = it.number,
                       .offset = offset,
                       .digest = digest,
                       .accepted = !reason.has_value(),
                       .reason = std::move(reason).value_or("")};
    if (out.accepted) {
        put_objects(it, offset);
    }
    outcomes.add(out);
    drop_old_removals();
    return out;
}

void state_content::merge(const state_content& other) {
    objects.merge(other.objects, covered, other.covered);
    outcomes.merge(other.outcomes, covered, other.covered);
    holders.merge(other.holders, covered, other.covered);
    covered = covered.joined(other.covered);
    dropped_end = std::max(dropped_end, other.dropped_end);
    drop_old_removals();
}

std::uint64_t state_content::digest() const {
    return canonical_bytes().add(objects.digest()).add(outcomes.digest()).add(holders.digest()).digest();
}

void state_content::put_objects(const ticket& it, std::uint64_t offset) {
    for (const auto& object : it.services) {
        objects.put({object_kind::service, object.name}, make_entry(object, it.number, offset));
    }
    for (const auto& object : it.failure_domains) {
        objects.put({object_kind::failure_domain, object.name}, make_entry(object, it.number, offset));
    }
    for (const auto& object : it.upstreams) {
        objects.put({object_kind::upstream, object.name}, make_entry(object, it.number, offset));
    }
    for (const auto& object : it.removals) {
        objects.put(object, make_removal(object, it.number, offset));
    }
}

void state_content::drop_old_removals() {
    // With a gap, a removal may still have to win over an entry that this state never saw.
    if (!covered.has_gap() && covered.first == 0) {
        dropped_end = std::max(dropped_end, objects.drop_removals(outcomes.floor()));
    }
}

} // namespace berylcrank
