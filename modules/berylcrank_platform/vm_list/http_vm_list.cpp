#include "modules/berylcrank_platform/vm_list/http_vm_list.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>
#include <optional>

namespace berylcrank {

namespace {

constexpr long status_ok = 200;

bool read_text(const nlohmann::json& it, const char* key, std::string& out) {
    const auto at = it.find(key);
    if (at == it.end() || !at->is_string()) {
        return false;
    }
    out = at->get<std::string>();
    return !out.empty();
}

std::optional<vm_entry> read_entry(const nlohmann::json& it) {
    vm_entry out;
    if (!it.is_object() || !read_text(it, "vm", out.vm) ||
        !read_text(it, "failure_domain", out.failure_domain) || !read_text(it, "region", out.region) ||
        !read_text(it, "http_address", out.http_address) || !read_text(it, "rpc_address", out.rpc_address)) {
        return std::nullopt;
    }
    if (const auto leaving = it.find("leaving"); leaving != it.end()) {
        if (!leaving->is_boolean()) {
            return std::nullopt;
        }
        out.leaving = leaving->get<bool>();
    }
    return out;
}

/** A list with one unreadable entry is not used at all: a vm missing from it would count as gone. */
std::optional<std::vector<vm_entry>> read_list(const std::string& text) {
    const auto it = nlohmann::json::parse(text, nullptr, false);
    const auto vms = it.is_object() ? it.find("vms") : it.end();
    if (!it.is_object() || vms == it.end() || !vms->is_array()) {
        return std::nullopt;
    }
    std::vector<vm_entry> out;
    for (const auto& vm : *vms) {
        auto entry = read_entry(vm);
        if (!entry) {
            return std::nullopt;
        }
        out.push_back(std::move(*entry));
    }
    return out;
}

} // namespace

boost::leaf::result<std::vector<vm_entry>> http_vm_list::fetch() {
    const auto result = transfer_.get("http://" + options_.address + "/vms", options_.response_timeout);
    if (result.what != http_result::kind::answered) {
        return boost::leaf::new_error("VM list: " + result.message);
    }
    if (result.status != status_ok) {
        return boost::leaf::new_error("VM list answered " + std::to_string(result.status));
    }
    auto list = read_list(result.body);
    if (!list) {
        return boost::leaf::new_error(std::string("VM list: unreadable answer"));
    }
    return std::move(*list);
}

void http_vm_list::cancel() {
    transfer_.cancel();
}

} // namespace berylcrank
