#include "standins/upstream/blob.h"

#include "modules/berylcrank_core/sync/mutex.h"

#include "absl/strings/numbers.h"

#include <algorithm>
#include <cstring>
#include <memory>

namespace berylcrank::standins {

namespace {

constexpr std::size_t block_bytes = 65536;

std::uint64_t word_at(std::uint64_t seed, std::uint64_t index) { // splitmix64
    auto it = seed + (index + 1) * 0x9e3779b97f4a7c15ULL;
    it = (it ^ (it >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    it = (it ^ (it >> 27U)) * 0x94d049bb133111ebULL;
    return it ^ (it >> 31U);
}

bool read_number(std::string_view text, std::uint64_t& out) {
    return !text.empty() && absl::SimpleAtoi(absl::string_view{text.data(), text.size()}, &out);
}

/** Writes a range to the body buffer block by block, whenever the buffer has space. */
class blob_stream : public std::enable_shared_from_this<blob_stream> {
public:
    blob_stream(const blob& it, const blob_range& part, stream_fault fault, std::uint64_t fault_bytes)
        : blob_(it), next_(part.first), end_(part.first + part.size), fault_(fault) {
        if (fault_ != stream_fault::none) {
            end_ = std::min(end_, next_ + fault_bytes);
        }
    }

    void start(const std::shared_ptr<body_buffer>& buffer) {
        buffer_ = buffer;
        buffer->set_on_space([self = shared_from_this()] { self->push(); });
        push();
    }

private:
    void push() {
        const lock_guard hold(mutex_);
        const auto buffer = buffer_.lock();
        while (buffer && next_ < end_) {
            if (block_.empty()) {
                block_.resize(std::min<std::uint64_t>(block_bytes, end_ - next_));
                fill_blob(blob_, next_, block_);
            }
            if (!buffer->push(block_)) {
                return;
            }
            next_ += block_.size();
            block_.clear();
        }
        if (buffer && fault_ == stream_fault::none) {
            buffer->finish();
        } else if (buffer && fault_ == stream_fault::cut) {
            buffer->fail();
        }
    }

    const blob blob_;
    mutex mutex_;
    std::uint64_t next_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t end_;
    stream_fault fault_;
    std::string block_ ABSL_GUARDED_BY(mutex_);
    std::weak_ptr<body_buffer> buffer_; ///< Weak, because the buffer's callback owns this object.
};

} // namespace

std::optional<blob> parse_blob(std::string_view path) {
    const auto at = path.find("/blob/");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto rest = path.substr(at + 6);
    const auto slash = rest.find('/');
    blob it;
    if (slash == std::string_view::npos || !read_number(rest.substr(0, slash), it.size) ||
        !read_number(rest.substr(slash + 1), it.seed)) {
        return std::nullopt;
    }
    return it;
}

void fill_blob(const blob& it, std::uint64_t offset, std::span<char> out) {
    std::size_t done = 0;
    while (done < out.size()) {
        const auto at = offset + done;
        const auto word = word_at(it.seed, at / 8);
        const auto skip = at % 8;
        const auto n = std::min<std::size_t>(8 - skip, out.size() - done);
        std::memcpy(out.data() + done, reinterpret_cast<const char*>(&word) + skip, n);
        done += n;
    }
}

blob_range select_range(const blob& it, const http_request& request, std::string_view etag) {
    const blob_range whole{.status = 200, .first = 0, .size = it.size};
    const auto range = find_header(request.headers, "Range");
    const auto condition = find_header(request.headers, "If-Range");
    if (!range || !range->starts_with("bytes=") || (condition && *condition != etag)) {
        return whole;
    }
    const auto spec = range->substr(6);
    const auto dash = spec.find('-');
    if (dash == std::string_view::npos || spec.find(',') != std::string_view::npos) {
        return whole;
    }
    std::uint64_t first = 0;
    std::uint64_t last = it.size - 1;
    const auto last_text = spec.substr(dash + 1);
    if (!read_number(spec.substr(0, dash), first) || (!last_text.empty() && !read_number(last_text, last))) {
        return whole;
    }
    if (first >= it.size || last < first) {
        return {.status = 416, .first = 0, .size = 0};
    }
    return {.status = 206, .first = first, .size = std::min(last, it.size - 1) - first + 1};
}

void stream_blob(const std::shared_ptr<http_exchange>& exchange, const blob& it, const blob_range& part,
                 http_response_head head, stream_fault fault, std::uint64_t fault_bytes) {
    const auto stream = std::make_shared<blob_stream>(it, part, fault, fault_bytes);
    stream->start(exchange->start_response(std::move(head), part.size));
}

} // namespace berylcrank::standins
