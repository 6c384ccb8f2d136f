#include "modules/berylcrank_http/client/response_completeness.h"

namespace berylcrank {

void response_completeness::observe(CURL* easy) {
    *this = {};
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
}

void response_completeness::read_line(std::string_view line) {
    if (line.starts_with("HTTP/")) {
        const auto status = line.find(' ');
        is_interim_ = status != std::string_view::npos && line.substr(status + 1).starts_with('1');
        has_head_ = false;
    } else if (line == "\r\n" || line == "\n") {
        has_head_ = !is_interim_;
    }
}

size_t response_completeness::on_header(char* data, size_t size, size_t n, void* self) {
    static_cast<response_completeness*>(self)->read_line({data, size * n});
    return size * n;
}

} // namespace berylcrank
