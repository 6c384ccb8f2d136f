#pragma once

#include <boost/leaf/result.hpp>
#include <string>

namespace berylcrank {

/** Opens a listening TCP socket at "address:port" or "[address]:port"; numbers only. Fails with a
   `std::string` message. @see bound_address */
boost::leaf::result<int> open_listen_socket(const std::string& address);

/** Address and port of a socket. @see open_listen_socket */
std::string bound_address(int socket);

} // namespace berylcrank
