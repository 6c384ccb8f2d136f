#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace berylcrank {

/** One vm of the platform's list. @see vm_list */
struct vm_entry {
    std::string vm;
    std::string failure_domain;
    std::string region;
    std::string http_address; ///< Where the node on it serves callers.
    std::string rpc_address;  ///< Where the node on it serves other nodes.
    bool leaving{false};
};

/** The platform's lagging list of live and leaving vms; a vm that is not on it is gone. Calls block.

    @see vm_entry
*/
class vm_list {
public:
    vm_list() = default;
    vm_list(const vm_list&) = delete;
    vm_list& operator=(const vm_list&) = delete;
    virtual ~vm_list() = default;

    /** The whole list; fails with a `std::string` message. */
    virtual boost::leaf::result<std::vector<vm_entry>> fetch() = 0;

    /** Ends a call in progress; later calls fail. Safe from any thread. */
    virtual void cancel() {}
};

} // namespace berylcrank
