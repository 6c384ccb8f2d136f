#pragma once

#include "modules/berylcrank_platform/http/http_transfer.h"
#include "modules/berylcrank_platform/vm_list/vm_list.h"

#include <string>

namespace berylcrank {

/** The platform's VM list over HTTP.

    `GET /vms` answers `{"vms":[{"vm","failure_domain","region","http_address","rpc_address","leaving"}]}`.
    @see vm_list
*/
class http_vm_list final : public vm_list {
public:
    struct options {
        std::string address;           ///< IP address and port.
        millis response_timeout{2000}; ///< A fetch that takes longer fails.
    };

    explicit http_vm_list(options it) : options_(std::move(it)) {}

    boost::leaf::result<std::vector<vm_entry>> fetch() override;
    void cancel() override;

private:
    options options_;
    http_transfer transfer_;
};

} // namespace berylcrank
