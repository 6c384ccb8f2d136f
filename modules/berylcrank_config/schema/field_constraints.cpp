#include "modules/berylcrank_config/schema/field_constraints.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <limits>

namespace berylcrank {

namespace {

constexpr std::uint64_t unit_annotation_id = 0xb5d1a0c1f2e34002;
constexpr std::uint64_t least_annotation_id = 0xb5d1a0c1f2e34003;
constexpr std::uint64_t most_annotation_id = 0xb5d1a0c1f2e34004;
constexpr std::uint64_t required_annotation_id = 0xb5d1a0c1f2e34005;
constexpr std::uint64_t format_annotation_id = 0xb5d1a0c1f2e34007;
constexpr std::size_t max_name_length = 100;

std::string text_of(capnp::Text::Reader text) {
    return {text.cStr(), text.size()};
}

/** Largest value of an unsigned integer type; the int64 maximum for any other type. */
std::uint64_t type_max(capnp::Type type) {
    switch (type.which()) {
    case capnp::schema::Type::UINT8:
        return std::numeric_limits<std::uint8_t>::max();
    case capnp::schema::Type::UINT16:
        return std::numeric_limits<std::uint16_t>::max();
    case capnp::schema::Type::UINT32:
        return std::numeric_limits<std::uint32_t>::max();
    case capnp::schema::Type::UINT64:
        return std::numeric_limits<std::uint64_t>::max();
    default:
        return std::numeric_limits<std::int64_t>::max();
    }
}

bool is_port(std::string_view text) {
    std::uint32_t port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    return ec == std::errc{} && end == text.data() + text.size() && port > 0 && port <= 65535;
}

bool is_length_in(std::size_t n, const field_constraints& constraints) {
    return (!constraints.min || n >= static_cast<std::uint64_t>(*constraints.min)) &&
           (!constraints.max || n <= static_cast<std::uint64_t>(*constraints.max));
}

bool is_unsigned_in(std::uint64_t n, const field_constraints& constraints) {
    return (!constraints.min || *constraints.min < 0 || n >= static_cast<std::uint64_t>(*constraints.min)) &&
           (!constraints.max || (*constraints.max >= 0 && n <= static_cast<std::uint64_t>(*constraints.max)));
}

/** Length in bytes of the UTF-8 sequence at the start of `text`; 0 if it is malformed. */
std::size_t utf8_sequence_length(std::string_view text) {
    const auto first = static_cast<unsigned char>(text[0]);
    const std::size_t n = first < 0x80   ? 1
                          : first < 0xC2 ? 0
                          : first < 0xE0 ? 2
                          : first < 0xF0 ? 3
                          : first < 0xF5 ? 4
                                         : 0;
    if (n == 0 || n > text.size()) {
        return 0;
    }
    for (std::size_t i = 1; i < n; ++i) {
        if ((static_cast<unsigned char>(text[i]) & 0xC0U) != 0x80U) {
            return 0;
        }
    }
    return n;
}

} // namespace

field_constraints read_constraints(capnp::StructSchema::Field field) {
    field_constraints constraints;
    constraints.key = to_snake_case(text_of(field.getProto().getName()));
    for (const auto& annotation : field.getProto().getAnnotations()) {
        switch (annotation.getId()) {
        case unit_annotation_id:
            constraints.unit = text_of(annotation.getValue().getText());
            break;
        case format_annotation_id:
            constraints.format = text_of(annotation.getValue().getText());
            break;
        case least_annotation_id:
            constraints.min = annotation.getValue().getInt64();
            break;
        case most_annotation_id:
            constraints.max = annotation.getValue().getInt64();
            break;
        case required_annotation_id:
            constraints.required = true;
            break;
        default:
            break;
        }
    }
    return constraints;
}

std::string to_snake_case(std::string_view camel) {
    std::string out;
    for (const char c : camel) {
        if (std::isupper(static_cast<unsigned char>(c)) != 0) {
            out += '_';
            out += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        } else {
            out += c;
        }
    }
    return out;
}

std::string describe_allowed(capnp::Type type, const field_constraints& constraints) {
    const std::string unit = constraints.unit.empty() ? "" : " (" + constraints.unit + ")";
    if (type.isText()) {
        if (constraints.format == "name") {
            return "a name of a-z, 0-9, '.' and '-' that starts with a letter or digit, at most 100 "
                   "characters";
        }
        if (constraints.format == "ip-port") {
            return "IPv4:port or [IPv6]:port with a port from 1 to 65535";
        }
        if (constraints.format == "listen") {
            return "IPv4:port or [IPv6]:port with a port from 0 to 65535; 0 lets the kernel choose";
        }
        return constraints.max ? absl::StrCat("a text of at most ", *constraints.max, " bytes") : "a text";
    }
    if (type.isList()) {
        return constraints.max ? absl::StrCat("a list of at most ", *constraints.max, " entries") : "a list";
    }
    if (type.isStruct()) {
        return "a map of keys";
    }
    if (type.isBool()) {
        return "true or false";
    }
    if (type.isEnum()) {
        std::string out = "one of";
        for (const auto enumerant : type.asEnum().getEnumerants()) {
            absl::StrAppend(&out, out.size() == 6 ? " " : ", ",
                            to_snake_case(text_of(enumerant.getProto().getName())));
        }
        return out;
    }
    if (type.isFloat32() || type.isFloat64()) {
        const std::string range = constraints.min && constraints.max
                                      ? absl::StrCat(" from ", *constraints.min, " to ", *constraints.max)
                                      : std::string();
        return "a number" + range + unit;
    }
    const std::uint64_t max = constraints.max ? static_cast<std::uint64_t>(*constraints.max) : type_max(type);
    return absl::StrCat("a whole number from ", constraints.min.value_or(0), " to ", max, unit);
}

bool is_name(std::string_view text) {
    const auto is_letter_or_digit = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); };
    return !text.empty() && text.size() <= max_name_length && is_letter_or_digit(text[0]) &&
           std::all_of(text.begin(), text.end(),
                       [&](char c) { return is_letter_or_digit(c) || c == '.' || c == '-'; });
}

bool is_ip_port(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_port(text.substr(colon + 1))) {
        return false;
    }
    std::string host(text.substr(0, colon));
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, host.c_str(), buf.data()) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), buf.data()) == 1;
}

bool is_listen_address(std::string_view text) {
    constexpr std::string_view any_port = ":0";
    return is_ip_port(text) ||
           (text.ends_with(any_port) && is_ip_port(std::string(text.substr(0, text.size() - 1)) + "1"));
}

bool is_plain_text(std::string_view text) {
    while (!text.empty()) {
        const auto n = utf8_sequence_length(text);
        const auto first = static_cast<unsigned char>(text[0]);
        if (n == 0 || first == 0x7F || (first < 0x20 && first != '\n' && first != '\t')) {
            return false;
        }
        text.remove_prefix(n);
    }
    return true;
}

bool satisfies_constraints(const capnp::DynamicValue::Reader& value, capnp::Type type,
                           const field_constraints& constraints) {
    if (type.isText()) {
        const auto text = value.as<capnp::Text>();
        const std::string_view view(text.cStr(), text.size());
        return is_plain_text(view) && is_length_in(view.size(), constraints) &&
               (constraints.format != "name" || is_name(view)) &&
               (constraints.format != "ip-port" || is_ip_port(view)) &&
               (constraints.format != "listen" || is_listen_address(view));
    }
    if (type.isList()) {
        return is_length_in(value.as<capnp::DynamicList>().size(), constraints);
    }
    if (type.isEnum()) {
        return value.as<capnp::DynamicEnum>().getEnumerant() != nullptr;
    }
    if (type.isFloat32() || type.isFloat64()) {
        const auto number = value.as<double>();
        return std::isfinite(number) &&
               (!constraints.min || number >= static_cast<double>(*constraints.min)) &&
               (!constraints.max || number <= static_cast<double>(*constraints.max));
    }
    if (type.isInt8() || type.isInt16() || type.isInt32() || type.isInt64()) {
        const auto number = value.as<std::int64_t>();
        return (!constraints.min || number >= *constraints.min) &&
               (!constraints.max || number <= *constraints.max);
    }
    if (type.isUInt8() || type.isUInt16() || type.isUInt32() || type.isUInt64()) {
        return is_unsigned_in(value.as<std::uint64_t>(), constraints);
    }
    return true;
}

} // namespace berylcrank
