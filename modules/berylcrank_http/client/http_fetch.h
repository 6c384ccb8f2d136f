#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <boost/leaf/result.hpp>
#include <string>

namespace berylcrank {

/** Fetches `http://<address><path>` with a blocking call and returns the body of a 200 response.

    For command line tools. Fails with a `std::string` message on a connection error, an incomplete response,
    a timeout, another status or a body above 256 MiB.
    @param address IP address and port.
    @param timeout Time limit for the whole transfer.
*/
boost::leaf::result<std::string> http_fetch(const std::string& address, const std::string& path,
                                            millis timeout);

} // namespace berylcrank
