#pragma once

#include "modules/berylcrank_config/schema/load_error.h"

#include <boost/leaf/result.hpp>
#include <string>

namespace berylcrank {

/** Reads a settings or ticket file of at most 32 MiB; fails with `load_errors`. */
boost::leaf::result<std::string> read_text_file(const std::string& path);

} // namespace berylcrank
