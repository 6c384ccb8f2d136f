#pragma once

#include <boost/leaf/result.hpp>
#include <string>

namespace berylcrank {

/** Opens a listening TCP socket at "address:port" or "[address]:port". Accepts only numeric addresses and
    ports. Fails with a `std::string` message. @see bound_address */
boost::leaf::result<int> open_listen_socket(const std::string& address);

/** Returns the address and port of a bound socket, or an empty string on error. @see open_listen_socket */
std::string bound_address(int socket);

} // namespace berylcrank
