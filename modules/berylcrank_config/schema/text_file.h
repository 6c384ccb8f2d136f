#pragma once

#include "modules/berylcrank_config/schema/load_error.h"

#include <boost/leaf/result.hpp>
#include <string>

namespace berylcrank {

/** Reads a whole file of at most 32 MiB. Fails with `load_errors`. */
boost::leaf::result<std::string> read_text_file(const std::string& path);

} // namespace berylcrank
