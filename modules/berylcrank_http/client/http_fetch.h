#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <boost/leaf/result.hpp>
#include <string>

namespace berylcrank {

/** Fetches `http://<address><path>` with a blocking call and returns the body of a 200 answer.

    For command line tools. Fails with a `std::string` message. `address` is an IP address and port.
*/
boost::leaf::result<std::string> http_fetch(const std::string& address, const std::string& path,
                                            millis timeout);

} // namespace berylcrank
