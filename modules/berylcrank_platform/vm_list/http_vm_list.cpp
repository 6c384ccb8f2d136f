#include "modules/berylcrank_platform/vm_list/http_vm_list.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>
#include <optional>

namespace berylcrank {

namespace {

constexpr long status_ok = 200;

bool read_text(const nlohmann::json& json, const char* key, std::string& out) {
    const auto found = json.find(key);
    if (found == json.end() || !found->is_string()) {
        return false;
    }
    out = found->get<std::string>();
    return !out.empty();
}

std::optional<vm_entry> read_entry(const nlohmann::json& json) {
    vm_entry out;
    if (!json.is_object() || !read_text(json, "vm", out.vm) ||
        !read_text(json, "failure_domain", out.failure_domain) || !read_text(json, "region", out.region) ||
        !read_text(json, "http_address", out.http_address) ||
        !read_text(json, "rpc_address", out.rpc_address)) {
        return std::nullopt;
    }
    if (const auto leaving = json.find("leaving"); leaving != json.end()) {
        if (!leaving->is_boolean()) {
            return std::nullopt;
        }
        out.leaving = leaving->get<bool>();
    }
    return out;
}

/** Parses a complete list. Returns nothing if any entry is malformed, because a vm that is not listed counts
    as having left. */
std::optional<std::vector<vm_entry>> read_list(const std::string& text) {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const auto vms = json.is_object() ? json.find("vms") : json.end();
    if (!json.is_object() || vms == json.end() || !vms->is_array()) {
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
    if (result.what != http_result::kind::completed) {
        return boost::leaf::new_error("VM list: " + result.message);
    }
    if (result.status != status_ok) {
        return boost::leaf::new_error("VM list: response status " + std::to_string(result.status));
    }
    auto list = read_list(result.body);
    if (!list) {
        return boost::leaf::new_error(std::string("VM list: malformed response"));
    }
    return std::move(*list);
}

void http_vm_list::cancel() {
    transfer_.cancel();
}

} // namespace berylcrank
