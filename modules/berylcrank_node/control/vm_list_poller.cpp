#include "modules/berylcrank_node/control/vm_list_poller.h"

#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>
#include <vector>

namespace berylcrank {

void vm_list_poller::start() {
    thread_ = std::thread([this] { run(); });
}

void vm_list_poller::stop() {
    if (thread_.joinable()) {
        signal_.stop();
        deps_.list.cancel();
        thread_.join();
    }
}

void vm_list_poller::run() {
    do {
        fetch();
    } while (!signal_.wait(interval_));
}

void vm_list_poller::fetch() {
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(entries, deps_.list.fetch());
            std::vector<vm_seed> seeds;
            seeds.reserve(entries.size());
            for (const auto& it : entries) {
                seeds.push_back({.vm = it.vm,
                                 .failure_domain = it.failure_domain,
                                 .region = it.region,
                                 .http_address = it.http_address,
                                 .rpc_address = it.rpc_address,
                                 .leaving = it.leaving});
            }
            deps_.peers.apply_vm_list(seeds, deps_.time.now());
            if (!has_list_.exchange(true)) {
                LOG(INFO) << "VM list read: " << seeds.size() << " vms";
            }
            return {};
        },
        [&] { failures_.fetch_add(1); });
}

} // namespace berylcrank
