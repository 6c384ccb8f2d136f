#pragma once

#include <curl/curl.h>
#include <string_view>

namespace berylcrank {

/** Recognizes whether the head of the final response of a libcurl transfer has arrived to its end. libcurl
    reports success if a connection is closed within the headers of a response.

    @see transfer, which parses the head itself
*/
class response_completeness {
public:
    /** Observes the header lines of the next transfer of `easy`. This object must outlive the transfer.
        Replaces CURLOPT_HEADERFUNCTION and CURLOPT_HEADERDATA. */
    void observe(CURL* easy);

    /** Reads one line of a head or of trailers, including its line break. */
    void read_line(std::string_view line);

    /** Returns whether the empty line behind the headers of a final response has arrived. */
    [[nodiscard]] bool has_head() const { return has_head_; }

private:
    static size_t on_header(char* data, size_t size, size_t n, void* self);

    bool is_interim_{false};
    bool has_head_{false};
};

} // namespace berylcrank
