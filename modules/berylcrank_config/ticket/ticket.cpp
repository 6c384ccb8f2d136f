#include "modules/berylcrank_config/ticket/ticket.h"

#include "modules/berylcrank_config/schema/json_writer.h"
#include "modules/berylcrank_config/schema/struct_loader.h"
#include "modules/berylcrank_config/schema/text_file.h"
#include "modules/berylcrank_config/ticket/ticket_codec.h"

#include "absl/container/flat_hash_map.h"

#include <boost/leaf/error.hpp>
#include <capnp/message.h>

namespace berylcrank {

namespace {

/** Records each object that a ticket sets or removes and reports objects that occur more than once. */
class object_checker {
public:
    explicit object_checker(std::vector<load_error>& errors) : errors_(errors) {}

    template <typename Object>
    void add(object_kind kind, const std::vector<Object>& list, std::string_view key, bool removes) {
        for (std::size_t i = 0; i < list.size(); ++i) {
            add({kind, list[i].name}, std::string(key) + "[" + std::to_string(i) + "]", removes);
        }
    }

    void add(const object_key& object, std::string path, bool removes) {
        const auto [position, added] = first_uses_.try_emplace(object, path, removes);
        if (added) {
            return;
        }
        const auto& [first_path, first_removes] = position->second;
        std::string message = std::string(to_string(object.kind)) + " is already ";
        message += first_removes ? "removed" : "set";
        errors_.push_back(
            {.key = std::move(path), .value = object.name, .message = message + " by " + first_path});
    }

private:
    std::vector<load_error>& errors_;
    absl::flat_hash_map<object_key, std::pair<std::string, bool>> first_uses_;
};

} // namespace

std::string_view to_string(object_kind kind) {
    switch (kind) {
    case object_kind::service:
        return "service";
    case object_kind::failure_domain:
        return "failure domain";
    case object_kind::upstream:
        return "upstream";
    }
    return "object";
}

boost::leaf::result<ticket> parse_ticket(std::string_view text, std::string_view file) {
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::Ticket>();
    auto errors = load_struct(text, file, capnp::toDynamic(root));
    auto parsed = read_ticket(root.asReader());
    // Objects that failed to load have no name, so checking them for duplicates would add misleading errors.
    if (errors.empty()) {
        errors = check_ticket(parsed);
        for (auto& error : errors) {
            error.file = file;
        }
    }
    if (!errors.empty()) {
        return boost::leaf::new_error(load_errors{std::move(errors)});
    }
    return parsed;
}

boost::leaf::result<ticket> load_ticket(const std::string& path) {
    BOOST_LEAF_AUTO(text, read_text_file(path));
    return parse_ticket(text, path);
}

std::vector<load_error> check_ticket(const ticket& change) {
    std::vector<load_error> errors;
    object_checker checker(errors);
    checker.add(object_kind::service, change.services, "services", false);
    checker.add(object_kind::failure_domain, change.failure_domains, "failure_domains", false);
    checker.add(object_kind::upstream, change.upstreams, "upstreams", false);
    for (std::size_t i = 0; i < change.removals.size(); ++i) {
        checker.add(change.removals[i], "removals[" + std::to_string(i) + "]", true);
    }
    if (change.services.empty() && change.failure_domains.empty() && change.upstreams.empty() &&
        change.removals.empty()) {
        errors.push_back({.message = "the ticket sets and removes nothing"});
    }
    return errors;
}

std::string to_json_text(const ticket& change, int indent) {
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::Ticket>();
    write_ticket(change, root);
    return to_text(to_json(capnp::toDynamic(root.asReader())), indent);
}

} // namespace berylcrank
