#pragma once

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace berylcrank {

/** The HTTP addresses of the nodes that a subcommand asks.

    `nodes` is a comma-separated list of addresses; if it is empty, the live vms of the VM list at `vm_list`
   are taken. Fails with a `std::string` message if neither is given or the list cannot be read.
    @see status_command, burn_command
*/
boost::leaf::result<std::vector<std::string>> node_targets(const std::string& nodes,
                                                           const std::string& vm_list);

} // namespace berylcrank
