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

/** Maps the result of a call to an error. Returns nothing for a response with status 200. */
std::optional<log_error> to_log_error(const http_result& result) {
    using kind = log_error::kind;
    switch (result.what) {
    case http_result::kind::no_response:
        return log_error{kind::no_response, "log service: " + result.message};
    case http_result::kind::refused:
        return log_error{kind::refused, "log service: " + result.message};
    case http_result::kind::invalid:
        return log_error{kind::malformed, "log service: " + result.message};
    case http_result::kind::completed:
        break;
    }
    if (result.status == status_ok) {
        return std::nullopt;
    }
    const auto what = result.status == status_throttled     ? kind::throttled
                      : result.status == status_too_large   ? kind::too_large
                      : result.status >= first_server_error ? kind::refused
                                                            : kind::malformed;
    return log_error{what, "log service: response status " + std::to_string(result.status)};
}

bool read_number(const nlohmann::json& json, const char* key, std::uint64_t& out) {
    const auto found = json.find(key);
    if (found == json.end() || !found->is_number_unsigned()) {
        return false;
    }
    out = found->get<std::uint64_t>();
    return true;
}

bool read_record(const nlohmann::json& json, log_record& out) {
    if (!json.is_object() || !read_number(json, "offset", out.offset)) {
        return false;
    }
    const auto data = json.find("data");
    return data != json.end() && data->is_string() &&
           absl::Base64Unescape(data->get_ref<const std::string&>(), &out.data);
}

std::optional<log_page> read_page(const std::string& text) {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    log_page out;
    if (!json.is_object() || !read_number(json, "first", out.first_offset) ||
        !read_number(json, "next", out.next_offset) || out.first_offset > out.next_offset) {
        return std::nullopt;
    }
    const auto records = json.find("records");
    if (records == json.end() || !records->is_array()) {
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
    if (auto error = to_log_error(result)) {
        return boost::leaf::new_error(std::move(*error));
    }
    std::uint64_t offset = 0;
    const auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (!json.is_object() || !read_number(json, "offset", offset)) {
        return boost::leaf::new_error(
            log_error{log_error::kind::malformed, "log service: malformed response to an append"});
    }
    return offset;
}

boost::leaf::result<log_page> http_log_service::read(std::uint64_t from, std::uint32_t max, millis wait) {
    const auto url = "http://" + options_.address + "/read?from=" + std::to_string(from) +
                     "&max=" + std::to_string(max) + "&wait_ms=" + std::to_string(wait.count());
    const auto result = reads_.get(url, wait + options_.response_timeout);
    if (auto error = to_log_error(result)) {
        return boost::leaf::new_error(std::move(*error));
    }
    auto page = read_page(result.body);
    if (!page) {
        return boost::leaf::new_error(
            log_error{log_error::kind::malformed, "log service: malformed response to a read"});
    }
    return std::move(*page);
}

void http_log_service::cancel() {
    reads_.cancel();
    appends_.cancel();
}

} // namespace berylcrank
