#pragma once

#include "modules/berylcrank_config/ticket/ticket.h"

#include <memory>
#include <variant>

namespace berylcrank {

using service_ptr = std::shared_ptr<const service_config>;
using failure_domain_ptr = std::shared_ptr<const failure_domain_config>;
using upstream_ptr = std::shared_ptr<const upstream_config>;

/** State of one object after the last accepted ticket that set or removed it. @see object_table */
struct object_entry {
    /** Configuration of the object; `std::monostate` if it is removed. */
    using content_type = std::variant<std::monostate, service_ptr, failure_domain_ptr, upstream_ptr>;

    std::uint64_t number{0}; ///< Number of that ticket.
    std::uint64_t offset{0}; ///< Log offset of that ticket.
    std::uint64_t digest{0}; ///< Hash of the content or of the removal.
    content_type content;

    [[nodiscard]] bool is_removal() const { return std::holds_alternative<std::monostate>(content); }

    /** True if this entry takes precedence over `other`: a higher number, or the same number at a lower
        offset. */
    [[nodiscard]] bool is_newer_than(const object_entry& other) const {
        return number != other.number ? number > other.number : offset < other.offset;
    }
};

/** Create the entry of an object that a ticket sets or removes. */
object_entry make_entry(service_config service, std::uint64_t number, std::uint64_t offset);
object_entry make_entry(failure_domain_config domain, std::uint64_t number, std::uint64_t offset);
object_entry make_entry(upstream_config upstream, std::uint64_t number, std::uint64_t offset);
object_entry make_removal(const object_key& key, std::uint64_t number, std::uint64_t offset);

} // namespace berylcrank
