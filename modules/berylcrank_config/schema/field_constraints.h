#pragma once

#include <capnp/dynamic.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace berylcrank {

/** Constraints on the value of one schema field. @see read_constraints */
struct field_constraints {
    std::string key;                 ///< Name of the field in snake_case.
    std::string unit;                ///< Unit of the value, e.g. "ms"; empty if it has none.
    std::string format;              ///< "ip-port", "listen", "name" or empty.
    std::optional<std::int64_t> min; ///< Smallest value, or smallest length of a text or list.
    std::optional<std::int64_t> max; ///< Largest value, or largest length of a text or list.
    bool required{false};
};

/** Reads the annotations of schema/annotations.capnp. */
field_constraints read_constraints(capnp::StructSchema::Field field);

/** Converts camelCase to snake_case: "requestClass" becomes "request_class". */
std::string to_snake_case(std::string_view camel);

/** Describes the allowed values of a field for error messages, e.g. "a whole number from 1 to 64 (ms)". */
std::string describe_allowed(capnp::Type type, const field_constraints& constraints);

/** True for `[a-z0-9][a-z0-9.-]*` of at most 100 characters. */
bool is_name(std::string_view text);

/** True for `IPv4:port` and `[IPv6]:port` with a port from 1 to 65535. */
bool is_ip_port(std::string_view text);

/** True for what `is_ip_port` allows and for port 0, which lets the kernel choose. */
bool is_listen_address(std::string_view text);

/** True if a text holds valid UTF-8 without control characters other than tab and newline. */
bool is_plain_text(std::string_view text);

/** True if `value` satisfies the constraints; checks the length of a list but not its elements. */
bool satisfies_constraints(const capnp::DynamicValue::Reader& value, capnp::Type type,
                           const field_constraints& constraints);

} // namespace berylcrank
