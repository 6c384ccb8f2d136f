#pragma once

#include "modules/berylcrank_gateway/http/message_framing.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cstring>

namespace berylcrank {

/** Upper bound of the capacity of a string after `n` bytes are appended in any number of pieces. An append
   that exceeds the capacity at least doubles it. */
inline std::size_t grown_capacity(const std::string& text, std::size_t n) {
    const auto size = text.size() + n;
    return size <= text.capacity() ? text.capacity() : 2 * size;
}

/** Bytes that a string has allocated. A short one is stored in the string object. */
inline std::size_t allocated_bytes(const std::string& text) {
    return text.capacity() > std::string().capacity() ? text.capacity() : 0;
}

/** Incremental parser of one HTTP/1.1 message, based on Boost.Beast. Stores the head and buffers the body for
    the owner. Drops trailers.

    @see request_head, response_head
*/
template <bool is_request>
class message_parser final : public boost::beast::http::basic_parser<is_request> {
public:
    using head_type = std::conditional_t<is_request, request_head, response_head>;

    /** Maximum number of bytes that are kept of a line that has not ended. Beast limits the header but not
       the lines of a chunked body. */
    static constexpr std::size_t max_line_bytes = 65536;

    message_parser() {
        this->eager(true);
        this->body_limit(boost::none);
    }

    head_type head;
    std::string body; ///< Received body bytes. The owner may clear it at any time.

    /** Returns the error of a request whose Transfer-Encoding has a coding other than chunked. */
    static boost::beast::error_code unknown_coding() {
        return make_error_code(boost::system::errc::not_supported);
    }

    /** Parses the part of `bytes` that belongs to this message and returns its length. This is the whole
        length of `bytes` unless the message ends earlier. Sets `ec` if the message is malformed. */
    std::size_t feed(std::string_view bytes, boost::beast::error_code& ec) {
        if (carry_.empty()) {
            const auto used = parse(bytes, ec);
            if (ec || this->is_done()) {
                return used;
            }
            carry_.assign(bytes.substr(used));
            check_line_length(ec);
            return bytes.size();
        }
        const auto carried = carry_.size();
        carry_.append(bytes);
        const auto used = parse(carry_, ec);
        if (ec || this->is_done()) {
            return used > carried ? used - carried : 0;
        }
        carry_.erase(0, used);
        check_line_length(ec);
        return bytes.size();
    }

    /** Number of bytes that the parser has allocated, without its own size. */
    [[nodiscard]] std::size_t capacity() const { return body.capacity() + carry_.capacity() + head_bytes_; }

    /** Upper bound of `capacity` while `n` further bytes are parsed, except for the fields of the head. */
    [[nodiscard]] std::size_t capacity_with(std::size_t n) const {
        return grown_capacity(body, n) + grown_capacity(carry_, n) + head_bytes_;
    }

private:
    void check_line_length(boost::beast::error_code& ec) const {
        if (this->is_header_done() && carry_.size() > max_line_bytes) {
            ec = boost::beast::http::error::header_limit;
        }
    }

    std::size_t parse(std::string_view bytes, boost::beast::error_code& ec) {
        std::size_t used = 0;
        while (used < bytes.size() && !this->is_done()) {
            const auto n = this->put(boost::asio::const_buffer(bytes.data() + used, bytes.size() - used), ec);
            used += n;
            if (ec == boost::beast::http::error::need_more) {
                ec = {};
                break;
            }
            if (ec || n == 0) {
                break;
            }
        }
        return used;
    }

    std::string carry_;         // an incomplete line, which Beast can only parse as a whole
    std::size_t head_bytes_{0}; // estimate for the fields of the head

    using string_view = boost::beast::string_view;
    using error_code = boost::beast::error_code;

    void on_request_impl(boost::beast::http::verb /*method*/, string_view method, string_view target,
                         int version, error_code& ec) override {
        ec = {};
        if constexpr (is_request) {
            head.method.assign(method.data(), method.size());
            head.target.assign(target.data(), target.size());
            head.version = version;
        }
    }

    void on_response_impl(int status, string_view reason, int /*version*/, error_code& ec) override {
        ec = {};
        if constexpr (!is_request) {
            head.status = status;
            head.reason.assign(reason.data(), reason.size());
        }
    }

    void on_field_impl(boost::beast::http::field /*field*/, string_view name, string_view value,
                       error_code& ec) override {
        ec = {};
        if (this->is_header_done()) {
            return; // a trailer; its receiver would take it for a header field
        }
        head.headers.emplace_back(std::string(name.data(), name.size()),
                                  std::string(value.data(), value.size()));
        head_bytes_ += name.size() + value.size() + sizeof(header_list::value_type);
    }

    void on_header_impl(error_code& ec) override {
        ec = {};
        head.keep_alive = this->keep_alive();
        if constexpr (is_request) {
            const auto coding = parse_body_coding(head.headers);
            if (coding == body_coding::unknown) {
                ec = unknown_coding();
            } else if (coding == body_coding::invalid) {
                ec = boost::beast::http::error::bad_transfer_encoding;
            }
        } else {
            if (const auto n = this->content_length()) {
                head.length = *n;
            }
            if (!is_valid_framing(head)) {
                ec = is_valid_status(head.status) ? boost::beast::http::error::bad_value
                                                  : boost::beast::http::error::bad_status;
            }
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/, error_code& ec) override {
        ec = {};
    }

    std::size_t on_body_impl(string_view bytes, error_code& ec) override {
        ec = {};
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/, error_code& ec) override {
        ec = {};
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, string_view bytes, error_code& ec) override {
        ec = {};
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_finish_impl(error_code& ec) override { ec = {}; }
};

using request_parser = message_parser<true>;
using response_parser = message_parser<false>;

} // namespace berylcrank
