#include "modules/berylcrank_config/schema/json_writer.h"

#include "modules/berylcrank_config/schema/field_rules.h"

#include <array>
#include <charconv>

namespace berylcrank {

namespace {

/** The shortest decimal that reads back as the same float, so that 99.9 is not written as 99.9000015. */
double shortest(float it) {
    std::array<char, 64> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), it).ptr;
    double out = 0;
    std::from_chars(buf.data(), end, out);
    return out;
}

nlohmann::ordered_json value_to_json(const capnp::DynamicValue::Reader& it, capnp::Type type) {
    switch (it.getType()) {
    case capnp::DynamicValue::BOOL:
        return it.as<bool>();
    case capnp::DynamicValue::INT:
        return it.as<std::int64_t>();
    case capnp::DynamicValue::UINT:
        return it.as<std::uint64_t>();
    case capnp::DynamicValue::FLOAT:
        return type.isFloat32() ? shortest(it.as<float>()) : it.as<double>();
    case capnp::DynamicValue::TEXT: {
        const auto text = it.as<capnp::Text>();
        return std::string(text.cStr(), text.size());
    }
    case capnp::DynamicValue::ENUM: {
        KJ_IF_MAYBE (enumerant, it.as<capnp::DynamicEnum>().getEnumerant()) {
            return to_snake_case(enumerant->getProto().getName().cStr());
        }
        return it.as<capnp::DynamicEnum>().getRaw();
    }
    case capnp::DynamicValue::LIST: {
        auto out = nlohmann::ordered_json::array();
        const auto list = it.as<capnp::DynamicList>();
        for (const auto element : list) {
            out.push_back(value_to_json(element, list.getSchema().getElementType()));
        }
        return out;
    }
    case capnp::DynamicValue::STRUCT:
        return to_json(it.as<capnp::DynamicStruct>());
    default:
        return nullptr;
    }
}

} // namespace

nlohmann::ordered_json to_json(capnp::DynamicStruct::Reader it) {
    auto out = nlohmann::ordered_json::object();
    for (const auto field : it.getSchema().getFields()) {
        const auto type = field.getType();
        const bool is_pointer = type.isText() || type.isList() || type.isStruct();
        if (is_pointer && !it.has(field)) {
            continue;
        }
        const auto value = it.get(field);
        if (type.isList() && value.as<capnp::DynamicList>().size() == 0) {
            continue;
        }
        out[to_snake_case(field.getProto().getName().cStr())] = value_to_json(value, type);
    }
    return out;
}

std::string to_text(const nlohmann::ordered_json& it, int indent) {
    return it.dump(indent, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace berylcrank
