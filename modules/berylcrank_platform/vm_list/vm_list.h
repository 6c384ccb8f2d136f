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
    std::string http_address; ///< Address at which the node on this vm serves callers.
    std::string rpc_address;  ///< Address at which the node on this vm serves other nodes.
    bool leaving{false};      ///< The vm is about to leave.
};

/** The platform's list of live and leaving vms. A vm that is not listed has left. The list may be out of
    date. Calls block.

    @see vm_entry
*/
class vm_list {
public:
    vm_list() = default;
    vm_list(const vm_list&) = delete;
    vm_list& operator=(const vm_list&) = delete;
    virtual ~vm_list() = default;

    /** Returns the complete list. Errors are std::string with the reason. */
    virtual boost::leaf::result<std::vector<vm_entry>> fetch() = 0;

    /** Aborts a call in progress and makes later calls fail. The default does nothing. May be called from any
        thread. */
    virtual void cancel() {}
};

} // namespace berylcrank
