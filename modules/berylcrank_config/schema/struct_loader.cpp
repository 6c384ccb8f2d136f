#include "modules/berylcrank_config/schema/struct_loader.h"

#include "modules/berylcrank_config/schema/field_constraints.h"
#include "modules/berylcrank_config/schema/scalar.h"

#include <optional>
#include <set>
#include <string>
#include <yaml-cpp/yaml.h>

namespace berylcrank {

namespace {

constexpr std::size_t max_shown_value_length = 60;

std::string display_text(const YAML::Node& node) {
    if (node.IsMap()) {
        return "{...}";
    }
    if (node.IsSequence()) {
        return "[...]";
    }
    if (!node.IsScalar()) {
        return "null";
    }
    const auto& text = node.Scalar();
    return text.size() <= max_shown_value_length ? text : text.substr(0, max_shown_value_length) + "...";
}

std::string join_path(const std::string& path, const std::string& key) {
    return path.empty() ? key : path + "." + key;
}

/** Loads one document into a struct and collects the errors. */
class struct_loader {
public:
    struct_loader(std::string_view file, std::vector<load_error>& errors) : file_(file), errors_(errors) {}

    void load(const YAML::Node& node, const std::string& path, capnp::DynamicStruct::Builder out) {
        if (!node.IsMap()) {
            report(node, path, "must be a map of keys");
            return;
        }
        std::set<std::string> seen;
        for (const auto& pair : node) {
            if (!pair.first.IsScalar()) {
                report(pair.first, path, "keys must be scalars");
                continue;
            }
            const auto& key = pair.first.Scalar();
            const auto field = find_field(out.getSchema(), key);
            if (!field) {
                report(pair.first, join_path(path, key),
                       "unknown key; known keys: " + known_keys(out.getSchema()), pair.second);
            } else if (!seen.insert(key).second) {
                report(pair.first, join_path(path, key), "duplicate key", pair.second);
            } else {
                load_field(pair.second, join_path(path, key), *field, out);
            }
        }
        for (const auto field : out.getSchema().getFields()) {
            const auto constraints = read_constraints(field);
            if (constraints.required && !seen.contains(constraints.key)) {
                report(node, join_path(path, constraints.key),
                       "required key is missing; expected " + describe_allowed(field.getType(), constraints));
            }
        }
    }

private:
    static std::optional<capnp::StructSchema::Field> find_field(capnp::StructSchema schema,
                                                                const std::string& key) {
        for (const auto field : schema.getFields()) {
            if (read_constraints(field).key == key) {
                return field;
            }
        }
        return std::nullopt;
    }

    static std::string known_keys(capnp::StructSchema schema) {
        std::string out;
        for (const auto field : schema.getFields()) {
            out += (out.empty() ? "" : ", ") + read_constraints(field).key;
        }
        return out;
    }

    void load_field(const YAML::Node& node, const std::string& path, capnp::StructSchema::Field field,
                    capnp::DynamicStruct::Builder out) {
        const auto constraints = read_constraints(field);
        const auto type = field.getType();
        if (type.isStruct()) {
            load(node, path, out.init(field).as<capnp::DynamicStruct>());
            return;
        }
        if (type.isList()) {
            load_list(node, path, field, constraints, out);
            return;
        }
        if (!set_scalar(node, field, constraints, out)) {
            report(node, path, "must be " + describe_allowed(type, constraints));
        }
    }

    void load_list(const YAML::Node& node, const std::string& path, capnp::StructSchema::Field field,
                   const field_constraints& constraints, capnp::DynamicStruct::Builder out) {
        const auto max_entries = constraints.max ? static_cast<std::uint64_t>(*constraints.max) : UINT32_MAX;
        if (!node.IsSequence() || node.size() > max_entries) {
            report(node, path, "must be " + describe_allowed(field.getType(), constraints));
            return;
        }
        auto list = out.init(field, static_cast<unsigned>(node.size())).as<capnp::DynamicList>();
        unsigned i = 0;
        for (const auto& element : node) {
            load(element, path + "[" + std::to_string(i) + "]", list[i].as<capnp::DynamicStruct>());
            ++i;
        }
    }

    void report(const YAML::Node& node, const std::string& path, std::string message) {
        report(node, path, std::move(message), node);
    }

    /** Adds an error about `value` with the line of `position`. */
    void report(const YAML::Node& position, const std::string& path, std::string message,
                const YAML::Node& value) {
        const auto mark = position.Mark();
        errors_.push_back({.file = std::string(file_),
                           .line = mark.is_null() ? 0 : mark.line + 1,
                           .key = path,
                           .value = value.IsMap() ? "" : display_text(value),
                           .message = std::move(message)});
    }

    std::string_view file_;
    std::vector<load_error>& errors_;
};

void check_fields(capnp::DynamicStruct::Reader message, const std::string& path,
                  std::vector<load_error>& errors) {
    for (const auto field : message.getSchema().getFields()) {
        const auto constraints = read_constraints(field);
        const auto type = field.getType();
        const auto value = message.get(field);
        const auto key = join_path(path, constraints.key);
        if (type.isStruct()) {
            check_fields(value.as<capnp::DynamicStruct>(), key, errors);
            continue;
        }
        if (!(type.isText() && !constraints.required && !message.has(field)) &&
            !satisfies_constraints(value, type, constraints)) {
            errors.push_back({.key = key, .message = "must be " + describe_allowed(type, constraints)});
        } else if (type.isList()) {
            unsigned i = 0;
            for (const auto element : value.as<capnp::DynamicList>()) {
                check_fields(element.as<capnp::DynamicStruct>(), key + "[" + std::to_string(i++) + "]",
                             errors);
            }
        }
    }
}

} // namespace

std::vector<load_error> load_struct(std::string_view text, std::string_view file,
                                    capnp::DynamicStruct::Builder out) {
    std::vector<load_error> errors;
    try {
        const auto documents = YAML::LoadAll(std::string(text));
        if (documents.size() != 1 || !documents[0].IsMap()) {
            errors.push_back(
                {.file = std::string(file), .message = "must contain exactly one document, a map of keys"});
            return errors;
        }
        struct_loader(file, errors).load(documents[0], "", out);
    } catch (const YAML::Exception& ex) {
        errors.push_back({.file = std::string(file),
                          .line = ex.mark.is_null() ? 0 : ex.mark.line + 1,
                          .message = "not valid YAML or JSON: " + ex.msg});
    }
    return errors;
}

std::vector<load_error> check_struct(capnp::DynamicStruct::Reader message) {
    std::vector<load_error> errors;
    check_fields(message, "", errors);
    return errors;
}

} // namespace berylcrank
