#include "modules/berylcrank_balance/config/route_table.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace berylcrank {

namespace {

std::string host_key(std::string_view host) {
    return absl::AsciiStrToLower({host.data(), std::min(host.find(':'), host.size())});
}

} // namespace

bool route_table::apply(deployment_config config) {
    if (config_ && config.version <= config_->version) {
        return false;
    }
    config_ = std::make_shared<const deployment_config>(std::move(config));
    by_host_.clear();
    services_.clear();
    for (const auto& it : config_->routes) {
        by_host_[host_key(it.host)].push_back(&it);
    }
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto* a, const auto* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
    }
    for (const auto& it : config_->services) {
        services_[it.name] = &it;
    }
    return true;
}

std::shared_ptr<const route_entry> route_table::find(std::string_view host, std::string_view path) const {
    const auto it = by_host_.find(host_key(host));
    if (it == by_host_.end()) {
        return nullptr;
    }
    for (const auto* route : it->second) {
        if (path.starts_with(route->path_prefix)) {
            return {config_, route};
        }
    }
    return nullptr;
}

const service_settings* route_table::service(std::string_view name) const {
    const auto it = services_.find(absl::string_view(name.data(), name.size()));
    return it == services_.end() ? nullptr : it->second;
}

const ingress_limits& route_table::limits() const {
    static const ingress_limits defaults;
    return config_ ? config_->limits : defaults;
}

} // namespace berylcrank
