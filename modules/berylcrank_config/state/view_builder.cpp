#include "modules/berylcrank_config/state/view_builder.h"

#include <algorithm>

namespace berylcrank {

namespace {

template <typename Pointer>
Pointer content_of(const state_content& content, const object_key& key) {
    const auto* entry = content.objects.find(key);
    const auto* found = entry == nullptr ? nullptr : std::get_if<Pointer>(&entry->content);
    return found == nullptr ? nullptr : *found;
}

} // namespace

config_view_ptr view_builder::next(const config_view& previous, const state_content& content,
                                   std::span<const object_key> changed, std::uint64_t applied) {
    auto out = std::make_shared<config_view>(previous);
    if (!changed.empty()) {
        view_builder builder(previous, content);
        for (const auto& key : changed) {
            switch (key.kind) {
            case object_kind::service:
                builder.change_service(key.name);
                break;
            case object_kind::failure_domain:
                builder.change_failure_domain(key.name);
                break;
            case object_kind::upstream:
                builder.change_upstream(key.name);
                break;
            }
        }
        builder.rebuild_services();
        out->services_ = builder.services_.result();
        out->failure_domains_ = builder.failure_domains_.result();
        out->upstreams_ = builder.upstreams_.result();
    }
    out->holders_ = content.holders;
    out->applied_ = applied;
    out->digest_ = content.digest();
    return out;
}

view_builder::view_builder(const config_view& previous, const state_content& content)
    : content_(content), previous_(previous), services_(previous.services_),
      failure_domains_(previous.failure_domains_), upstreams_(previous.upstreams_) {}

void view_builder::change_service(const std::string& name) {
    services_to_rebuild_.try_emplace(name);
}

void view_builder::change_failure_domain(const std::string& name) {
    failure_domains_.set(name, content_of<failure_domain_ptr>(content_, {object_kind::failure_domain, name}));
}

void view_builder::change_upstream(const std::string& name) {
    if (!changed_upstreams_.insert(name).second) {
        return;
    }
    if (const auto* old = previous_.find_upstream(name)) {
        services_to_rebuild_.try_emplace(old->service);
    }
    const auto upstream = content_of<upstream_ptr>(content_, {object_kind::upstream, name});
    if (upstream != nullptr) {
        services_to_rebuild_[upstream->service].push_back(upstream);
    }
    upstreams_.set(name, upstream);
}

void view_builder::rebuild_services() {
    for (auto& [name, added] : services_to_rebuild_) {
        auto next = std::make_shared<service_view>();
        next->config = content_of<service_ptr>(content_, {object_kind::service, name});
        if (const auto* old = previous_.services_.find(name)) {
            std::copy_if((*old)->upstreams.begin(), (*old)->upstreams.end(),
                         std::back_inserter(next->upstreams),
                         [&](const auto& upstream) { return !changed_upstreams_.contains(upstream->name); });
        }
        next->upstreams.insert(next->upstreams.end(), added.begin(), added.end());
        std::sort(next->upstreams.begin(), next->upstreams.end(),
                  [](const auto& a, const auto& b) { return a->name < b->name; });
        const bool is_empty = next->config == nullptr && next->upstreams.empty();
        services_.set(name, is_empty ? nullptr : std::move(next));
    }
}

} // namespace berylcrank
