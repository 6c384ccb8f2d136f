#pragma once

#include <capnp/dynamic.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace berylcrank {

/** Rules of one schema field, from its annotations and its type. @see rules_of */
struct field_rules {
    std::string key;                   ///< snake_case name of the field.
    std::string unit;                  ///< Empty if the value has none.
    std::string format;                ///< "ip-port", "listen", "name" or empty.
    std::optional<std::int64_t> least; ///< Smallest value or length.
    std::optional<std::int64_t> most;  ///< Largest value or length.
    bool required{false};
};

/** Reads the annotations of schema/annotations.capnp. */
field_rules rules_of(capnp::StructSchema::Field field);

/** "requestClass" gives "request_class". */
std::string to_snake_case(std::string_view camel);

/** What a field allows, for messages: "a whole number from 1 to 64 (ms)". */
std::string allowed_text(capnp::Type type, const field_rules& rules);

/** True for `[a-z0-9][a-z0-9.-]*` of at most 100 characters. */
bool is_name(std::string_view text);

/** True for `IPv4:port` and `[IPv6]:port` with a port from 1 to 65535. */
bool is_ip_port(std::string_view text);

/** True for what `is_ip_port` allows and for port 0, which lets the kernel choose. */
bool is_listen_address(std::string_view text);

/** True if a text holds valid UTF-8 without control characters other than tab and newline. */
bool is_plain_text(std::string_view text);

/** True if `value` keeps the rules; for texts and lists this covers length and format, not elements. */
bool keeps_rules(const capnp::DynamicValue::Reader& value, capnp::Type type, const field_rules& rules);

} // namespace berylcrank
