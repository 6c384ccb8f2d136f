#pragma once

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace berylcrank {

/** Returns the HTTP addresses of the nodes that a subcommand queries.

    These are the addresses in `nodes`, separated by commas. If `nodes` is empty, all vms of the VM list at
    the address `vm_list` are returned. Fails with a `std::string` message if both are empty or the list
    cannot be read.

    @see publish_command, status_command, burn_command
*/
boost::leaf::result<std::vector<std::string>> resolve_node_addresses(const std::string& nodes,
                                                                     const std::string& vm_list);

} // namespace berylcrank
