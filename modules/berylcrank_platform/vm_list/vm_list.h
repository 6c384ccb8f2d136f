#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace berylcrank {

/** Entry of the VM list. @see vm_list */
struct vm_entry {
    std::string vm;
    std::string failure_domain;
    std::string region;
    std::string http_address; ///< Address where the node on this vm serves callers.
    std::string rpc_address;  ///< Address where the node on this vm serves other nodes.
    bool leaving{false};      ///< The vm is about to leave.
};

/** The platform's list of live and leaving vms. A vm that is not listed is gone. The list may lag behind
    the real state. Calls block.

    @see vm_entry
*/
class vm_list {
public:
    vm_list() = default;
    vm_list(const vm_list&) = delete;
    vm_list& operator=(const vm_list&) = delete;
    virtual ~vm_list() = default;

    /** Returns the complete list. Fails with a `std::string` message. */
    virtual boost::leaf::result<std::vector<vm_entry>> fetch() = 0;

    /** Aborts a call in progress. Later calls fail. Safe from any thread. */
    virtual void cancel() {}
};

} // namespace berylcrank
