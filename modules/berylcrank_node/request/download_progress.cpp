#include "modules/berylcrank_node/request/download_progress.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>

namespace berylcrank {

namespace {

struct content_range {
    std::uint64_t first{0};
    std::uint64_t last{0};
    std::uint64_t total{0};

    bool operator==(const content_range&) const = default;
};

bool consume_number(std::string_view& text, std::uint64_t& out) {
    const auto n = std::min(text.find_first_not_of("0123456789"), text.size());
    const bool is_read = absl::SimpleAtoi(absl::string_view{text.data(), n}, &out);
    text.remove_prefix(n);
    return is_read;
}

bool consume_text(std::string_view& text, std::string_view expected) {
    const bool is_there = text.starts_with(expected);
    text.remove_prefix(is_there ? expected.size() : 0);
    return is_there;
}

std::optional<content_range> range_of(const http_response_head& head) {
    auto text = find_header(head.headers, "Content-Range").value_or("");
    content_range it;
    const bool is_read = consume_text(text, "bytes ") && consume_number(text, it.first) &&
                         consume_text(text, "-") && consume_number(text, it.last) &&
                         consume_text(text, "/") && consume_number(text, it.total);
    if (!is_read || !text.empty() || it.last < it.first || it.last >= it.total) {
        return std::nullopt;
    }
    return it;
}

std::string_view strong_etag_of(const http_response_head& head) {
    const auto etag = find_header(head.headers, "ETag").value_or("");
    const bool is_strong = etag.size() >= 2 && etag.front() == '"' && etag.back() == '"';
    return is_strong && count_headers(head.headers, "ETag") == 1 ? etag : std::string_view{};
}

} // namespace

void download_progress::begin(const http_response_head& head, std::optional<std::uint64_t> content_bytes) {
    *this = {};
    if (!content_bytes) {
        return;
    }
    has_length_ = true;
    end_ = *content_bytes;
    total_ = *content_bytes;
    if (head.status == 206) {
        const auto range = range_of(head);
        if (!range || range->last - range->first + 1 != *content_bytes) {
            return;
        }
        next_ = range->first;
        end_ = range->last + 1;
        total_ = range->total;
    }
    if (head.status == 200 || head.status == 206) {
        etag_ = strong_etag_of(head);
    }
}

void download_progress::add_range_headers(std::vector<http_header>& headers) const {
    std::erase_if(headers, [](const http_header& it) {
        return absl::EqualsIgnoreCase(it.name, "Range") || absl::EqualsIgnoreCase(it.name, "If-Range");
    });
    headers.push_back({"Range", absl::StrCat("bytes=", next_, "-", end_ - 1)});
    headers.push_back({"If-Range", etag_});
}

download_progress::match download_progress::check(const http_response_head& head,
                                                  std::optional<std::uint64_t> content_bytes) const {
    if (head.status >= 500) {
        return match::failed;
    }
    const content_range rest{.first = next_, .last = end_ - 1, .total = total_};
    const bool is_same = head.status == 206 && strong_etag_of(head) == etag_ && range_of(head) == rest &&
                         content_bytes == end_ - next_;
    return is_same ? match::same : match::different;
}

} // namespace berylcrank
