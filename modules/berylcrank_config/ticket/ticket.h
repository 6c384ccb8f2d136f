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

/** "service", "failure domain" or "upstream", for error messages. */
std::string_view to_string(object_kind kind);

/** Identifies one object by kind and name. */
struct object_key {
    object_kind kind{object_kind::service};
    std::string name;

    bool operator==(const object_key&) const = default;
    bool operator<(const object_key& other) const {
        return kind != other.kind ? kind < other.kind : name < other.name;
    }

    template <typename H>
    friend H AbslHashValue(H state, const object_key& key) {
        return H::combine(std::move(state), key.kind, key.name);
    }
};

/** A change to the configuration: the complete new state of each object that it sets, and the objects that it
    removes.
    @see load_ticket */
struct ticket {
    std::uint64_t number{0};
    std::string author;
    std::string note;
    std::vector<service_config> services;
    std::vector<failure_domain_config> failure_domains;
    std::vector<upstream_config> upstreams;
    std::vector<object_key> removals;
};

/** Loads a ticket file (YAML or JSON). Fails with `load_errors`. */
boost::leaf::result<ticket> load_ticket(const std::string& path);

/** Parses a ticket from text. `file` is used only in error messages. Fails with `load_errors`. */
boost::leaf::result<ticket> parse_ticket(std::string_view text, std::string_view file);

/** Reports the errors that span the whole ticket: it is empty, or it names an object more than once.

    A rejection reason may contain the text of such an error. @see ticket_outcome
*/
std::vector<load_error> check_ticket(const ticket& change);

/** Converts a ticket to JSON that `parse_ticket` reads back as the same ticket.
    @param indent Spaces per level; -1 writes a single line.
*/
std::string to_json_text(const ticket& change, int indent = 2);

/** Hash of all fields, independent of the order of the objects. Two tickets with the same number and the same
    digest are duplicates. */
std::uint64_t digest_of(const ticket& change);

} // namespace berylcrank
