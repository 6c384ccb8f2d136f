#include "modules/berylcrank_gateway/log/event_log.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace berylcrank {

namespace {

void append_text(std::string& to, std::string_view value) {
    to += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            to += '\\';
            to += c;
        } else if (static_cast<unsigned char>(c) < 0x20U || static_cast<unsigned char>(c) > 0x7eU) {
            absl::StrAppendFormat(&to, "\\u%04x", static_cast<unsigned char>(c));
        } else {
            to += c;
        }
    }
    to += '"';
}

std::int64_t unix_millis() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

log_line& log_line::field(std::string_view name, std::string_view value) {
    if (log_ != nullptr) {
        absl::StrAppend(&text_, ",\"", absl::string_view(name.data(), name.size()), "\":");
        append_text(text_, value);
    }
    return *this;
}

log_line& log_line::field(std::string_view name, std::int64_t value) {
    if (log_ != nullptr) {
        absl::StrAppend(&text_, ",\"", absl::string_view(name.data(), name.size()), "\":", value);
    }
    return *this;
}

log_line& log_line::field(std::string_view name, std::uint64_t value) {
    if (log_ != nullptr) {
        absl::StrAppend(&text_, ",\"", absl::string_view(name.data(), name.size()), "\":", value);
    }
    return *this;
}

log_line& log_line::field(std::string_view name, double value) {
    if (log_ != nullptr) {
        absl::StrAppendFormat(&text_, ",\"%s\":%.3f", absl::string_view(name.data(), name.size()), value);
    }
    return *this;
}

log_line& log_line::field(std::string_view name, bool value) {
    if (log_ != nullptr) {
        absl::StrAppend(&text_, ",\"", absl::string_view(name.data(), name.size()),
                        "\":", value ? "true" : "false");
    }
    return *this;
}

void log_line::send() {
    if (log_ != nullptr) {
        log_->append_line(text_);
        log_ = nullptr;
    }
}

event_log::event_log(int fd, std::string node, const clock& time)
    : fd_(fd), node_(std::move(node)), time_(time) {
    fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL, 0) | O_NONBLOCK);
}

log_line event_log::line(std::string_view event) {
    auto& it = buckets_[absl::string_view(event.data(), event.size())];
    const auto now = time_.now();
    it.tokens = std::min(burst_lines, it.tokens + (now - it.at).value() / 1000 * lines_per_second);
    it.at = now;
    if (it.tokens < 1) {
        ++it.dropped;
        ++dropped_lines_;
        return {nullptr, {}};
    }
    it.tokens -= 1;
    std::string text = absl::StrCat("{\"at\":", unix_millis(), ",\"node\":\"", node_, "\",\"event\":\"",
                                    absl::string_view(event.data(), event.size()), "\"");
    if (it.dropped > 0) {
        absl::StrAppend(&text, ",\"left_out\":", it.dropped);
        it.dropped = 0;
    }
    return {this, std::move(text)};
}

void event_log::append_line(const std::string& text) {
    if (buffer_.size() + text.size() > max_buffered_bytes) {
        ++dropped_lines_;
        return;
    }
    buffer_ += text;
    buffer_ += "}\n";
}

void event_log::flush() {
    if (buffer_.empty()) {
        return;
    }
    const auto n = write(fd_, buffer_.data(), buffer_.size());
    if (n > 0) {
        buffer_.erase(0, static_cast<std::size_t>(n));
    }
}

} // namespace berylcrank
