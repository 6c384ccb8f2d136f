#pragma once

#include "modules/berylcrank_config/schema/load_error.h"
#include "modules/berylcrank_config/ticket/objects.h"

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Kind of a configured object; the values are those of `ObjectKind` in schema/ticket.capnp. */
enum class object_kind : std::uint8_t { service, failure_domain, upstream };

/** "service", "failure domain" or "upstream", for messages. */
std::string_view to_string(object_kind it);

/** Names one object. */
struct object_key {
    object_kind kind{object_kind::service};
    std::string name;

    bool operator==(const object_key&) const = default;
    bool operator<(const object_key& other) const {
        return kind != other.kind ? kind < other.kind : name < other.name;
    }

    template <typename H>
    friend H AbslHashValue(H state, const object_key& it) {
        return H::combine(std::move(state), it.kind, it.name);
    }
};

/** A change ticket: the complete new state of each object that it touches. @see load_ticket */
struct ticket {
    std::uint64_t number{0};
    std::string author;
    std::string note;
    std::vector<service_config> services;
    std::vector<failure_domain_config> failure_domains;
    std::vector<upstream_config> upstreams;
    std::vector<object_key> removals;
};

/** Reads a ticket file (YAML or JSON); fails with `load_errors`. */
boost::leaf::result<ticket> load_ticket(const std::string& path);

/** Reads a ticket from text; `file` is used in messages only. Fails with `load_errors`. */
boost::leaf::result<ticket> parse_ticket(std::string_view text, std::string_view file);

/** Faults that need the whole ticket: it touches nothing, names an object twice, or both sets and removes it.
 */
std::vector<load_error> check_ticket(const ticket& it);

/** JSON that `parse_ticket` reads back as the same ticket. */
std::string to_json_text(const ticket& it, int indent = 2);

/** Hash over all fields; the order of objects does not count. Two tickets with one number and one digest are
   duplicates. */
std::uint64_t digest_of(const ticket& it);

} // namespace berylcrank
