#include "modules/berylcrank_config/state/ticket_rules.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

namespace berylcrank {

namespace {

std::string named(const object_key& key) {
    return std::string(to_string(key.kind)) + " \"" + key.name + "\"";
}

/** Checks one ticket against the objects in force. */
class ticket_checker {
public:
    ticket_checker(const ticket& it, const object_table& objects) : ticket_(it), objects_(objects) {
        for (const auto& object : it.services) {
            set_.insert({object_kind::service, object.name});
        }
        for (const auto& object : it.failure_domains) {
            set_.insert({object_kind::failure_domain, object.name});
        }
        for (const auto& object : it.upstreams) {
            set_.insert({object_kind::upstream, object.name});
        }
        removed_.insert(it.removals.begin(), it.removals.end());
    }

    std::optional<std::string> reason() const {
        auto out = check_numbers();
        if (!out) {
            out = check_references();
        }
        return out ? out : check_removals();
    }

private:
    std::optional<std::string> check_numbers() const {
        // Looks at the keys in ticket order, so that every node finds the same reason first.
        for (const auto& it : ticket_.services) {
            if (auto out = check_number({object_kind::service, it.name})) {
                return out;
            }
        }
        for (const auto& it : ticket_.failure_domains) {
            if (auto out = check_number({object_kind::failure_domain, it.name})) {
                return out;
            }
        }
        for (const auto& it : ticket_.upstreams) {
            if (auto out = check_number({object_kind::upstream, it.name})) {
                return out;
            }
        }
        for (const auto& it : ticket_.removals) {
            if (auto out = check_number(it)) {
                return out;
            }
        }
        return std::nullopt;
    }

    std::optional<std::string> check_number(const object_key& key) const {
        const auto* entry = objects_.find(key);
        if (entry == nullptr || entry->number < ticket_.number) {
            return std::nullopt;
        }
        return absl::StrCat(named(key), " was changed by ticket ", entry->number,
                            ", which is newer than ticket ", ticket_.number);
    }

    bool exists_after(const object_key& key) const {
        return set_.contains(key) || (objects_.exists(key) && !removed_.contains(key));
    }

    std::optional<std::string> check_references() const {
        for (const auto& it : ticket_.upstreams) {
            for (const auto& key : {object_key{object_kind::service, it.service},
                                    object_key{object_kind::failure_domain, it.failure_domain}}) {
                if (!exists_after(key)) {
                    return "upstream \"" + it.name + "\" names " + named(key) + ", which does not exist";
                }
            }
        }
        return std::nullopt;
    }

    std::optional<std::string> check_removals() const {
        const auto released = released_references();
        for (const auto& key : ticket_.removals) {
            if (!objects_.exists(key)) {
                return named(key) + " is to be removed but does not exist";
            }
            const auto it = released.find(key);
            const auto left = objects_.references_to(key) - (it == released.end() ? 0 : it->second);
            if (left > 0) {
                return absl::StrCat(named(key), " is to be removed but ", left, " upstreams name it");
            }
        }
        return std::nullopt;
    }

    /** References of upstreams in force that the ticket replaces or removes. */
    absl::flat_hash_map<object_key, std::uint32_t> released_references() const {
        absl::flat_hash_map<object_key, std::uint32_t> out;
        const auto release = [&](const object_key& key) {
            const auto* entry = objects_.find(key);
            const auto* it = entry == nullptr ? nullptr : std::get_if<upstream_ptr>(&entry->content);
            if (it != nullptr) {
                ++out[{object_kind::service, (*it)->service}];
                ++out[{object_kind::failure_domain, (*it)->failure_domain}];
            }
        };
        for (const auto& it : ticket_.upstreams) {
            release({object_kind::upstream, it.name});
        }
        for (const auto& it : ticket_.removals) {
            release(it);
        }
        return out;
    }

    const ticket& ticket_;
    const object_table& objects_;
    absl::flat_hash_set<object_key> set_;
    absl::flat_hash_set<object_key> removed_;
};

} // namespace

std::optional<std::string> rejection_reason(const ticket& it, std::string_view fault,
                                            const object_table& objects, const ticket_outcomes& outcomes) {
    if (it.number <= outcomes.floor()) {
        return absl::StrCat("the number must be above ", outcomes.floor(), "; lower numbers are forgotten");
    }
    if (const auto earlier = outcomes.find(it.number); !earlier.empty()) {
        return absl::StrCat("number ", it.number, " was used at offset ", earlier.front().offset,
                            " with other content");
    }
    if (!fault.empty()) {
        return std::string(fault);
    }
    if (const auto faults = check_ticket(it); !faults.empty()) {
        return to_string(faults.front());
    }
    return ticket_checker(it, objects).reason();
}

} // namespace berylcrank
