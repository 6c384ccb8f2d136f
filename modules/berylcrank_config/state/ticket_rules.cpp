#include "modules/berylcrank_config/state/ticket_rules.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

namespace berylcrank {

namespace {

std::string describe(const object_key& key) {
    return std::string(to_string(key.kind)) + " \"" + key.name + "\"";
}

/** Checks one ticket against the current objects. */
class ticket_checker {
public:
    ticket_checker(const ticket& change, const object_table& objects) : ticket_(change), objects_(objects) {
        for (const auto& object : change.services) {
            set_objects_.insert({object_kind::service, object.name});
        }
        for (const auto& object : change.failure_domains) {
            set_objects_.insert({object_kind::failure_domain, object.name});
        }
        for (const auto& object : change.upstreams) {
            set_objects_.insert({object_kind::upstream, object.name});
        }
        removed_objects_.insert(change.removals.begin(), change.removals.end());
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
        // Checks the keys in ticket order, so that every node returns the same reason.
        for (const auto& service : ticket_.services) {
            if (auto out = check_number({object_kind::service, service.name})) {
                return out;
            }
        }
        for (const auto& domain : ticket_.failure_domains) {
            if (auto out = check_number({object_kind::failure_domain, domain.name})) {
                return out;
            }
        }
        for (const auto& upstream : ticket_.upstreams) {
            if (auto out = check_number({object_kind::upstream, upstream.name})) {
                return out;
            }
        }
        for (const auto& key : ticket_.removals) {
            if (auto out = check_number(key)) {
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
        return absl::StrCat(describe(key), " was changed by ticket ", entry->number,
                            ", which is newer than ticket ", ticket_.number);
    }

    bool exists_after(const object_key& key) const {
        return set_objects_.contains(key) || (objects_.exists(key) && !removed_objects_.contains(key));
    }

    std::optional<std::string> check_references() const {
        for (const auto& upstream : ticket_.upstreams) {
            for (const auto& key : {object_key{object_kind::service, upstream.service},
                                    object_key{object_kind::failure_domain, upstream.failure_domain}}) {
                if (!exists_after(key)) {
                    return "upstream \"" + upstream.name + "\" names " + describe(key) +
                           ", which does not exist";
                }
            }
        }
        return std::nullopt;
    }

    std::optional<std::string> check_removals() const {
        const auto released = released_references();
        for (const auto& key : ticket_.removals) {
            if (!objects_.exists(key)) {
                return describe(key) + " is to be removed but does not exist";
            }
            const auto it = released.find(key);
            const auto remaining = objects_.references_to(key) - (it == released.end() ? 0 : it->second);
            if (remaining > 0) {
                return absl::StrCat(describe(key), " is to be removed but ", remaining, " upstreams name it");
            }
        }
        return std::nullopt;
    }

    /** Counts the references of current upstreams that the ticket replaces or removes. */
    absl::flat_hash_map<object_key, std::uint32_t> released_references() const {
        absl::flat_hash_map<object_key, std::uint32_t> out;
        const auto release = [&](const object_key& key) {
            const auto* entry = objects_.find(key);
            const auto* upstream = entry == nullptr ? nullptr : std::get_if<upstream_ptr>(&entry->content);
            if (upstream != nullptr) {
                ++out[{object_kind::service, (*upstream)->service}];
                ++out[{object_kind::failure_domain, (*upstream)->failure_domain}];
            }
        };
        for (const auto& upstream : ticket_.upstreams) {
            release({object_kind::upstream, upstream.name});
        }
        for (const auto& key : ticket_.removals) {
            release(key);
        }
        return out;
    }

    const ticket& ticket_;
    const object_table& objects_;
    absl::flat_hash_set<object_key> set_objects_;
    absl::flat_hash_set<object_key> removed_objects_;
};

} // namespace

std::optional<std::string> rejection_reason(const ticket& change, std::string_view schema_error,
                                            const object_table& objects, const ticket_outcomes& outcomes) {
    if (change.number <= outcomes.floor()) {
        return absl::StrCat("the number must be above ", outcomes.floor(), "; lower numbers are forgotten");
    }
    if (const auto earlier = outcomes.find(change.number); !earlier.empty()) {
        return absl::StrCat("number ", change.number, " was used at offset ", earlier.front().offset,
                            " with other content");
    }
    if (!schema_error.empty()) {
        return std::string(schema_error);
    }
    if (const auto errors = check_ticket(change); !errors.empty()) {
        return to_string(errors.front());
    }
    return ticket_checker(change, objects).reason();
}

} // namespace berylcrank
