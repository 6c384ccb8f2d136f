#include "modules/berylcrank_config/schema/scalar.h"

#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <string>
#include <yaml-cpp/yaml.h>

namespace berylcrank {

namespace {

template <typename Number>
std::optional<Number> parse_number(const std::string& text) {
    Number n{};
    const auto* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, n);
    return ec == std::errc{} && end == last ? std::optional<Number>(n) : std::nullopt;
}

/** Sets the field if the value satisfies the constraints. */
bool set_checked(const capnp::DynamicValue::Reader& value, capnp::StructSchema::Field field,
                 const field_constraints& constraints, capnp::DynamicStruct::Builder out) {
    if (!satisfies_constraints(value, field.getType(), constraints)) {
        return false;
    }
    out.set(field, value);
    return true;
}

bool fits_type(std::uint64_t n, capnp::Type type) {
    switch (type.which()) {
    case capnp::schema::Type::UINT8:
        return n <= std::numeric_limits<std::uint8_t>::max();
    case capnp::schema::Type::UINT16:
        return n <= std::numeric_limits<std::uint16_t>::max();
    case capnp::schema::Type::UINT32:
        return n <= std::numeric_limits<std::uint32_t>::max();
    default:
        return true;
    }
}

bool set_float(const std::string& text, capnp::StructSchema::Field field,
               const field_constraints& constraints, capnp::DynamicStruct::Builder out) {
    const auto n = parse_number<double>(text);
    const bool ok = n && std::isfinite(*n) &&
                    (field.getType().isFloat64() || std::fabs(*n) <= std::numeric_limits<float>::max());
    return ok && set_checked(*n, field, constraints, out);
}

bool set_enum(const std::string& text, capnp::StructSchema::Field field, capnp::DynamicStruct::Builder out) {
    for (const auto enumerant : field.getType().asEnum().getEnumerants()) {
        if (to_snake_case(enumerant.getProto().getName().cStr()) == text) {
            out.set(field, capnp::DynamicEnum(enumerant));
            return true;
        }
    }
    return false;
}

} // namespace

bool set_scalar(const YAML::Node& node, capnp::StructSchema::Field field,
                const field_constraints& constraints, capnp::DynamicStruct::Builder out) {
    if (!node.IsScalar()) {
        return false;
    }
    const auto& text = node.Scalar();
    const auto type = field.getType();
    if (type.isText()) {
        return set_checked(capnp::Text::Reader(text.c_str(), text.size()), field, constraints, out);
    }
    if (type.isEnum()) {
        return set_enum(text, field, out);
    }
    if (node.Tag() == "!") {
        return false;
    }
    if (type.isBool()) {
        if (text != "true" && text != "false") {
            return false;
        }
        out.set(field, text == "true");
        return true;
    }
    if (type.isFloat32() || type.isFloat64()) {
        return set_float(text, field, constraints, out);
    }
    const auto n = parse_number<std::uint64_t>(text);
    return n && fits_type(*n, type) && set_checked(*n, field, constraints, out);
}

} // namespace berylcrank
