#include "modules/berylcrank_gateway/flow/gateway.h"
#include "modules/berylcrank_gateway/flow/request_flow.h"

#include <absl/strings/str_cat.h>

namespace berylcrank {

bool request_flow::has_access() {
    const auto version = node_.routes.version();
    if (checked_version_ == version) {
        return true;
    }
    // The route decides in its newest state whether it needs an account; a removed one in its last state.
    const auto current = gateway::find_route(caller_->head, node_);
    const auto access =
        node_.check_access(caller_->head.headers, current == nullptr ? route_.get() : current.get());
    if (!access.allowed) {
        return false;
    }
    checked_version_ = version;
    if (node_.accounts.required()) {
        hides_credentials_ = true; // also if a later configuration has no accounts
        const auto name = access.account == nullptr ? std::nullopt : std::optional(access.account->name);
        if (name != account_) {
            token_.reset();
        }
        account_ = name;
        cap_ = account_ ? access.account->cap() : std::nullopt;
        priority_ = account_ ? access.account->priority.value_or(route_->priority) : route_->priority;
    } else {
        cap_.reset();
    }
    return true;
}

bool request_flow::refuse_without_access() {
    if (has_access()) {
        return false;
    }
    gateway::respond_unauthorized(caller_, node_);
    finish("unauthorized", 401);
    return true;
}

bool request_flow::is_forwarded_header(std::string_view name) const {
    const auto& names = node_.wire.headers();
    if (is_hop_by_hop_header(name) || header_names_equal(name, names.timeout) ||
        header_names_equal(name, names.target_upstream)) {
        return false;
    }
    return !hides_credentials_ ||
           (!header_names_equal(name, names.authorization) && !header_names_equal(name, names.account));
}

std::string request_flow::caller_identity() const {
    return account_ ? absl::StrCat("account/", *account_) : caller_->caller; // no address contains a slash
}

} // namespace berylcrank
