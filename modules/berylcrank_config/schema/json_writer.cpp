#include "modules/berylcrank_config/schema/json_writer.h"

#include "modules/berylcrank_config/schema/field_constraints.h"

#include <array>
#include <charconv>

namespace berylcrank {

namespace {

/** Returns the shortest decimal that parses back to the same float: 99.9 instead of 99.9000015. */
double shortest_decimal(float value) {
    std::array<char, 64> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value).ptr;
    double out = 0;
    std::from_chars(buf.data(), end, out);
    return out;
}

nlohmann::ordered_json value_to_json(const capnp::DynamicValue::Reader& value, capnp::Type type) {
    switch (value.getType()) {
    case capnp::DynamicValue::BOOL:
        return value.as<bool>();
    case capnp::DynamicValue::INT:
        return value.as<std::int64_t>();
    case capnp::DynamicValue::UINT:
        return value.as<std::uint64_t>();
    case capnp::DynamicValue::FLOAT:
        return type.isFloat32() ? shortest_decimal(value.as<float>()) : value.as<double>();
    case capnp::DynamicValue::TEXT: {
        const auto text = value.as<capnp::Text>();
        return std::string(text.cStr(), text.size());
    }
    case capnp::DynamicValue::ENUM: {
        KJ_IF_MAYBE (enumerant, value.as<capnp::DynamicEnum>().getEnumerant()) {
            return to_snake_case(enumerant->getProto().getName().cStr());
        }
        return value.as<capnp::DynamicEnum>().getRaw();
    }
    case capnp::DynamicValue::LIST: {
        auto out = nlohmann::ordered_json::array();
        const auto list = value.as<capnp::DynamicList>();
        for (const auto element : list) {
            out.push_back(value_to_json(element, list.getSchema().getElementType()));
        }
        return out;
    }
    case capnp::DynamicValue::STRUCT:
        return to_json(value.as<capnp::DynamicStruct>());
    default:
        return nullptr;
    }
}

} // namespace

nlohmann::ordered_json to_json(capnp::DynamicStruct::Reader message) {
    auto out = nlohmann::ordered_json::object();
    for (const auto field : message.getSchema().getFields()) {
        const auto type = field.getType();
        const bool is_pointer = type.isText() || type.isList() || type.isStruct();
        if (is_pointer && !message.has(field)) {
            continue;
        }
        const auto value = message.get(field);
        if (type.isList() && value.as<capnp::DynamicList>().size() == 0) {
            continue;
        }
        out[to_snake_case(field.getProto().getName().cStr())] = value_to_json(value, type);
    }
    return out;
}

std::string to_text(const nlohmann::ordered_json& json, int indent) {
    return json.dump(indent, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace berylcrank
