#include "modules/berylcrank_config/schema/struct_loader.h"

#include "modules/berylcrank_config/schema/field_rules.h"
#include "modules/berylcrank_config/schema/scalar.h"

#include <optional>
#include <set>
#include <string>
#include <yaml-cpp/yaml.h>

namespace berylcrank {

namespace {

constexpr std::size_t longest_shown_value = 60;

std::string shortened(const YAML::Node& node) {
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
    return text.size() <= longest_shown_value ? text : text.substr(0, longest_shown_value) + "...";
}

std::string joined(const std::string& path, const std::string& key) {
    return path.empty() ? key : path + "." + key;
}

/** Walks one document and collects faults. */
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
                report(pair.first, path, "keys must be plain words");
                continue;
            }
            const auto& key = pair.first.Scalar();
            const auto field = find_field(out.getSchema(), key);
            if (!field) {
                report(pair.first, joined(path, key),
                       "unknown key; known are " + known_keys(out.getSchema()));
            } else if (!seen.insert(key).second) {
                report(pair.first, joined(path, key), "the key is given twice");
            } else {
                load_field(pair.second, joined(path, key), *field, out);
            }
        }
        for (const auto field : out.getSchema().getFields()) {
            const auto rules = rules_of(field);
            if (rules.required && !seen.contains(rules.key)) {
                report(node, joined(path, rules.key),
                       "the key is required; it takes " + allowed_text(field.getType(), rules));
            }
        }
    }

private:
    static std::optional<capnp::StructSchema::Field> find_field(capnp::StructSchema schema,
                                                                const std::string& key) {
        for (const auto field : schema.getFields()) {
            if (rules_of(field).key == key) {
                return field;
            }
        }
        return std::nullopt;
    }

    static std::string known_keys(capnp::StructSchema schema) {
        std::string out;
        for (const auto field : schema.getFields()) {
            out += (out.empty() ? "" : ", ") + rules_of(field).key;
        }
        return out;
    }

    void load_field(const YAML::Node& node, const std::string& path, capnp::StructSchema::Field field,
                    capnp::DynamicStruct::Builder out) {
        const auto rules = rules_of(field);
        const auto type = field.getType();
        if (type.isStruct()) {
            load(node, path, out.init(field).as<capnp::DynamicStruct>());
            return;
        }
        if (type.isList()) {
            load_list(node, path, field, rules, out);
            return;
        }
        if (!set_scalar(node, field, rules, out)) {
            report(node, path, "must be " + allowed_text(type, rules));
        }
    }

    void load_list(const YAML::Node& node, const std::string& path, capnp::StructSchema::Field field,
                   const field_rules& rules, capnp::DynamicStruct::Builder out) {
        const auto most = rules.most ? static_cast<std::uint64_t>(*rules.most) : UINT32_MAX;
        if (!node.IsSequence() || node.size() > most) {
            report(node, path, "must be " + allowed_text(field.getType(), rules));
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
        const auto mark = node.Mark();
        errors_.push_back({.file = std::string(file_),
                           .line = mark.is_null() ? 0 : mark.line + 1,
                           .key = path,
                           .value = node.IsMap() ? "" : shortened(node),
                           .message = std::move(message)});
    }

    std::string_view file_;
    std::vector<load_error>& errors_;
};

void check_fields(capnp::DynamicStruct::Reader it, const std::string& path, std::vector<load_error>& errors) {
    for (const auto field : it.getSchema().getFields()) {
        const auto rules = rules_of(field);
        const auto type = field.getType();
        const auto value = it.get(field);
        const auto key = joined(path, rules.key);
        if (type.isStruct()) {
            check_fields(value.as<capnp::DynamicStruct>(), key, errors);
            continue;
        }
        if (!(type.isText() && !rules.required && !it.has(field)) && !keeps_rules(value, type, rules)) {
            errors.push_back({.key = key, .message = "must be " + allowed_text(type, rules)});
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
                {.file = std::string(file), .message = "must hold one document that is a map of keys"});
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

std::vector<load_error> check_struct(capnp::DynamicStruct::Reader it) {
    std::vector<load_error> errors;
    check_fields(it, "", errors);
    return errors;
}

} // namespace berylcrank
