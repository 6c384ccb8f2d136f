#include "modules/berylcrank_node/request/service_table.h"

#include <utility>
#include <vector>

namespace berylcrank {

namespace {

// Time after a failure domain's return in which requests still count as "during the change".
constexpr std::int64_t domain_return_ms = 60000;

} // namespace

bool service_entry::is_in_domain_change(instant now) const {
    const auto back = domain_back_ms.load();
    return has_domain_out.load() || (back >= 0 && now.since_start().count() - back < domain_return_ms);
}

std::shared_ptr<service_entry> service_table::find(std::string_view name) const {
    const auto services = current();
    const auto it = services->find(absl::string_view{name.data(), name.size()});
    return it == services->end() ? nullptr : it->second;
}

void service_table::for_each(const std::function<void(const std::string&, service_entry&)>& use) const {
    // The pointer must outlive the loop: an update may drop the table meanwhile.
    const auto services = current();
    for (const auto& [name, entry] : *services) {
        use(name, *entry);
    }
}

void service_table::update(const config_view_ptr& now_in_force, instant now) {
    const auto& view = *now_in_force;
    domain_states domains;
    view.for_each_failure_domain([&](const failure_domain_config& it) { domains[it.name] = it.in_use; });
    const bool are_domains_same = domains == domains_;
    const auto old = current();
    auto next = std::make_shared<table>();
    view.for_each_service([&](const service_view& it) {
        const auto found = old->find(it.config->name);
        const bool is_new = found == old->end();
        const auto entry = is_new ? make_entry(*it.config) : found->second;
        const bool is_same =
            !is_new && are_domains_same && last_ != nullptr && last_->find_service(it.config->name) == &it;
        if (!is_same) {
            update_entry(view, it, *entry, now);
        }
        next->emplace(it.config->name, entry);
    });
    domains_ = std::move(domains);
    last_ = now_in_force;
    {
        const lock_guard hold(mutex_);
        table_ = std::move(next);
    }
    forget_missing(view);
}

std::shared_ptr<service_entry> service_table::make_entry(const service_config& it) const {
    return std::make_shared<service_entry>(it, options_.router, options_.metrics.service(it.name));
}

void service_table::update_entry(const config_view& view, const service_view& service, service_entry& entry,
                                 instant now) {
    entry.set_config(service.config);
    std::vector<routed_upstream> upstreams;
    upstreams.reserve(service.upstreams.size());
    bool has_domain_out = false;
    for (const auto& it : service.upstreams) {
        const bool is_in_use = view.is_in_use(it->failure_domain);
        has_domain_out = has_domain_out || !is_in_use;
        upstreams.push_back({.config = *it, .is_domain_in_use = is_in_use});
    }
    entry.router.update(*service.config, upstreams, now);
    for (const auto& it : service.upstreams) {
        if (known_upstreams_.insert(it->name).second) {
            entry.router.set_gate(it->name, {.access = upstream_gate::access_mode::by_permit}, now);
        }
    }
    if (entry.has_domain_out.exchange(has_domain_out) && !has_domain_out) {
        entry.domain_back_ms = now.since_start().count();
    }
}

void service_table::forget_missing(const config_view& view) {
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
