#include "modules/berylcrank_config/schema/text_file.h"

#include <boost/leaf/error.hpp>
#include <cerrno>
#include <cstring>
#include <fstream>

namespace berylcrank {

namespace {

constexpr std::size_t max_file_bytes = 32U << 20U;

boost::leaf::error_id fail(const std::string& path, std::string message) {
    return boost::leaf::new_error(load_errors{{{.file = path, .message = std::move(message)}}});
}

} // namespace

boost::leaf::result<std::string> read_text_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return fail(path, std::string("cannot be opened: ") + std::strerror(errno));
    }
    std::string text(max_file_bytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad()) {
        return fail(path, "cannot be read");
    }
    text.resize(static_cast<std::size_t>(in.gcount()));
    if (text.size() > max_file_bytes) {
        return fail(path, "is larger than 32 MiB");
    }
    return text;
}

} // namespace berylcrank
