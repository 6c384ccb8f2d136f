#include "modules/berylcrank_platform/log/http_log_service.h"

#include "absl/strings/escaping.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>
#include <optional>

namespace berylcrank {

namespace {

constexpr long status_ok = 200;
constexpr long status_too_large = 413;
constexpr long status_throttled = 429;
constexpr long first_server_error = 500;

/** The error that an answer or a failed transfer stands for; nothing if it is a good answer. */
std::optional<log_error> error_of(const http_result& it) {
    using kind = log_error::kind;
    switch (it.what) {
    case http_result::kind::silent:
        return log_error{kind::no_response, "log service: " + it.message};
    case http_result::kind::refused:
        return log_error{kind::refused, "log service: " + it.message};
    case http_result::kind::invalid:
        return log_error{kind::malformed, "log service: " + it.message};
    case http_result::kind::answered:
        break;
    }
    if (it.status == status_ok) {
        return std::nullopt;
    }
    const auto what = it.status == status_throttled     ? kind::throttled
                      : it.status == status_too_large   ? kind::too_large
                      : it.status >= first_server_error ? kind::refused
                                                        : kind::malformed;
    return log_error{what, "log service answered " + std::to_string(it.status)};
}

bool read_number(const nlohmann::json& it, const char* key, std::uint64_t& out) {
    const auto at = it.find(key);
    if (at == it.end() || !at->is_number_unsigned()) {
        return false;
    }
    out = at->get<std::uint64_t>();
    return true;
}

bool read_record(const nlohmann::json& it, log_record& out) {
    if (!it.is_object() || !read_number(it, "offset", out.offset)) {
        return false;
    }
    const auto data = it.find("data");
    return data != it.end() && data->is_string() &&
           absl::Base64Unescape(data->get_ref<const std::string&>(), &out.data);
}

std::optional<log_page> read_page(const std::string& text) {
    const auto it = nlohmann::json::parse(text, nullptr, false);
    log_page out;
    if (!it.is_object() || !read_number(it, "first", out.first_offset) ||
        !read_number(it, "next", out.next_offset) || out.first_offset > out.next_offset) {
        return std::nullopt;
    }
    const auto records = it.find("records");
    if (records == it.end() || !records->is_array()) {
        return std::nullopt;
    }
    for (const auto& record : *records) {
        auto& added = out.records.emplace_back();
        const bool ok =
            read_record(record, added) && added.offset >= out.first_offset && added.offset < out.next_offset;
        if (!ok || (out.records.size() > 1 && added.offset <= out.records[out.records.size() - 2].offset)) {
            return std::nullopt;
        }
    }
    return out;
}

} // namespace

boost::leaf::result<std::uint64_t> http_log_service::append(std::string_view data) {
    const auto result =
        appends_.post("http://" + options_.address + "/append", data, options_.append_timeout);
    if (auto error = error_of(result)) {
        return boost::leaf::new_error(std::move(*error));
    }
    std::uint64_t offset = 0;
    const auto it = nlohmann::json::parse(result.body, nullptr, false);
    if (!it.is_object() || !read_number(it, "offset", offset)) {
        return boost::leaf::new_error(
            log_error{log_error::kind::malformed, "log service: unreadable answer to an append"});
    }
    return offset;
}

boost::leaf::result<log_page> http_log_service::read(std::uint64_t from, std::uint32_t max, millis wait) {
    const auto url = "http://" + options_.address + "/read?from=" + std::to_string(from) +
                     "&max=" + std::to_string(max) + "&wait_ms=" + std::to_string(wait.count());
    const auto result = reads_.get(url, wait + options_.response_timeout);
    if (auto error = error_of(result)) {
        return boost::leaf::new_error(std::move(*error));
    }
    auto page = read_page(result.body);
    if (!page) {
        return boost::leaf::new_error(
            log_error{log_error::kind::malformed, "log service: unreadable answer to a read"});
    }
    return std::move(*page);
}

void http_log_service::cancel() {
    reads_.cancel();
    appends_.cancel();
}

} // namespace berylcrank
