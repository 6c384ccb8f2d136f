#include "modules/berylcrank_node/request/service_table.h"

#include <utility>
#include <vector>

namespace berylcrank {

namespace {

// Time after a failure domain's return in which requests still count as "in domain change".
constexpr std::int64_t domain_change_ms = 60000;

} // namespace

bool service_entry::is_in_domain_change(instant now) const {
    const auto restored_ms = domain_restored_ms.load();
    return has_unused_domain.load() ||
           (restored_ms >= 0 && now.since_start().count() - restored_ms < domain_change_ms);
}

std::shared_ptr<service_entry> service_table::find(std::string_view name) const {
    const auto services = current();
    const auto it = services->find(absl::string_view{name.data(), name.size()});
    return it == services->end() ? nullptr : it->second;
}

void service_table::for_each(const std::function<void(const std::string&, service_entry&)>& visit) const {
    // Keeps the table alive during the loop; an update may replace it.
    const auto services = current();
    for (const auto& [name, entry] : *services) {
        visit(name, *entry);
    }
}

void service_table::update(const config_view_ptr& new_view, instant now) {
    const auto& view = *new_view;
    domain_states domains;
    view.for_each_failure_domain([&](const failure_domain_config& it) { domains[it.name] = it.in_use; });
    const bool are_domains_unchanged = domains == domain_states_;
    const auto old = current();
    auto next = std::make_shared<table>();
    view.for_each_service([&](const service_view& it) {
        const auto found = old->find(it.config->name);
        const bool is_new = found == old->end();
        const auto entry = is_new ? make_entry(*it.config) : found->second;
        const bool is_unchanged = !is_new && are_domains_unchanged && last_view_ != nullptr &&
                                  last_view_->find_service(it.config->name) == &it;
        if (!is_unchanged) {
            update_entry(view, it, *entry, now);
        }
        next->emplace(it.config->name, entry);
    });
    domain_states_ = std::move(domains);
    last_view_ = new_view;
    {
        const lock_guard hold(mutex_);
        table_ = std::move(next);
    }
    forget_removed(view);
}

std::shared_ptr<service_entry> service_table::make_entry(const service_config& it) const {
    return std::make_shared<service_entry>(it, options_.router, options_.metrics.service(it.name));
}

void service_table::update_entry(const config_view& view, const service_view& service, service_entry& entry,
                                 instant now) {
    entry.set_config(service.config);
    std::vector<routed_upstream> upstreams;
    upstreams.reserve(service.upstreams.size());
    bool has_unused_domain = false;
    for (const auto& it : service.upstreams) {
        const bool is_in_use = view.is_in_use(it->failure_domain);
        has_unused_domain = has_unused_domain || !is_in_use;
        upstreams.push_back({.config = *it, .is_domain_in_use = is_in_use});
    }
    entry.router.update(*service.config, upstreams, now);
    for (const auto& it : service.upstreams) {
        if (known_upstreams_.insert(it->name).second) {
            entry.router.set_gate(it->name, {.access = upstream_gate::access_mode::by_permit}, now);
        }
    }
    if (entry.has_unused_domain.exchange(has_unused_domain) && !has_unused_domain) {
        entry.domain_restored_ms = now.since_start().count();
    }
}

void service_table::forget_removed(const config_view& view) {
    absl::erase_if(known_upstreams_, [&](const std::string& it) {
        if (view.find_upstream(it) != nullptr) {
            return false;
        }
        options_.gate.forget(it);
        return true;
    });
}

std::shared_ptr<const service_table::table> service_table::current() const {
    const lock_guard hold(mutex_);
    return table_;
}

} // namespace berylcrank
