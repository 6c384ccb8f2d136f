#pragma once

#include "modules/berylcrank_platform/http/http_transfer.h"
#include "modules/berylcrank_platform/vm_list/vm_list.h"

#include <string>

namespace berylcrank {

/** HTTP client of the platform's VM list.

    `GET /vms` returns `{"vms":[{"vm","failure_domain","region","http_address","rpc_address","leaving"}]}`.
    @see vm_list
*/
class http_vm_list final : public vm_list {
public:
    struct options {
        std::string address;           ///< IP address and port.
        millis response_timeout{2000}; ///< Timeout of a fetch.
    };

    explicit http_vm_list(options opts) : options_(std::move(opts)) {}

    boost::leaf::result<std::vector<vm_entry>> fetch() override;
    void cancel() override;

private:
    options options_;
    http_transfer transfer_;
};

} // namespace berylcrank
