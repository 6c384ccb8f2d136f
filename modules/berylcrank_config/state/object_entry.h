#pragma once

#include "modules/berylcrank_config/ticket/ticket.h"

#include <memory>
#include <variant>

namespace berylcrank {

using service_ptr = std::shared_ptr<const service_config>;
using failure_domain_ptr = std::shared_ptr<const failure_domain_config>;
using upstream_ptr = std::shared_ptr<const upstream_config>;

/** What the last accepted ticket made of one object. @see object_table */
struct object_entry {
    /** Content; `std::monostate` stands for a removed object. */
    using content_type = std::variant<std::monostate, service_ptr, failure_domain_ptr, upstream_ptr>;

    std::uint64_t number{0}; ///< Ticket number.
    std::uint64_t offset{0}; ///< Log offset of that ticket.
    std::uint64_t digest{0}; ///< Hash of the content or the removal.
    content_type content;

    [[nodiscard]] bool is_removal() const { return std::holds_alternative<std::monostate>(content); }

    /** True if this entry takes the place of `other`. */
    [[nodiscard]] bool is_newer_than(const object_entry& other) const {
        return number != other.number ? number > other.number : offset < other.offset;
    }
};

/** Entries for objects that a ticket sets or removes. */
object_entry make_entry(service_config it, std::uint64_t number, std::uint64_t offset);
object_entry make_entry(failure_domain_config it, std::uint64_t number, std::uint64_t offset);
object_entry make_entry(upstream_config it, std::uint64_t number, std::uint64_t offset);
object_entry make_removal(const object_key& it, std::uint64_t number, std::uint64_t offset);

} // namespace berylcrank
