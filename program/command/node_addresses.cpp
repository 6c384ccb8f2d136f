#include "program/command/node_addresses.h"

#include "modules/berylcrank_http/client/http_fetch.h"

#include "absl/strings/str_split.h"
#include <nlohmann/json.hpp>

namespace berylcrank {

boost::leaf::result<std::vector<std::string>> resolve_node_addresses(const std::string& nodes,
                                                                     const std::string& vm_list) {
    if (!nodes.empty()) {
        return std::vector<std::string>(absl::StrSplit(nodes, ',', absl::SkipEmpty()));
    }
    if (vm_list.empty()) {
        return boost::leaf::new_error(std::string("--nodes or --vm-list is required"));
    }
    BOOST_LEAF_AUTO(text, http_fetch(vm_list, "/vms", millis{3000}));
    try {
        std::vector<std::string> addresses;
        const auto json = nlohmann::json::parse(text);
        for (const auto& entry : json.at("vms")) {
            addresses.push_back(entry.at("http_address").get<std::string>());
        }
        return addresses;
    } catch (const nlohmann::json::exception& error) {
        return boost::leaf::new_error("VM list " + vm_list + " is malformed: " + error.what());
    }
}

} // namespace berylcrank
