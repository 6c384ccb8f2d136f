#include "modules/berylcrank_core/identity/request_id.h"

#include "absl/strings/str_cat.h"

#include <charconv>
#include <system_error>

namespace berylcrank {

namespace {

constexpr int decimal = 10;
constexpr int hexadecimal = 16;

/** Parses the number at the front of `text` and removes it together with the `separator` that must follow
    it. If `separator` is 0, the number extends to the end of the text. Returns false if there is no such
    number. */
bool consume_number(std::string_view& text, char separator, int base, std::uint64_t& out) {
    const auto end = separator == 0 ? text.size() : text.find(separator);
    if (end == std::string_view::npos || end == 0) {
        return false;
    }
    const char* first = text.data();
    const char* last = first + end;
    const auto [it, ec] = std::from_chars(first, last, out, base);
    if (ec != std::errc{} || it != last) {
        return false;
    }
    text.remove_prefix(separator == 0 ? end : end + 1);
    return true;
}

} // namespace

std::optional<request_id> parse_request_id(std::string_view text) {
    request_id id;
    std::uint64_t mint_ms = 0;
    const bool ok = consume_number(text, '-', hexadecimal, id.home.value) &&
                    consume_number(text, '-', hexadecimal, mint_ms) &&
                    consume_number(text, '-', hexadecimal, id.serial) &&
                    consume_number(text, '.', hexadecimal, id.check) &&
                    consume_number(text, 0, decimal, id.number);
    constexpr std::uint64_t max_uptime_ms = 1ULL << 48U;
    if (!ok || mint_ms > max_uptime_ms || !id.home.is_set()) {
        return std::nullopt;
    }
    id.minted = instant{millis{static_cast<std::int64_t>(mint_ms)}};
    return id;
}

std::string to_string(const request_id& id) {
    return absl::StrCat(to_hex(id.home), "-", absl::Hex(id.minted.since_start().count()), "-",
                        absl::Hex(id.serial), "-", absl::Hex(id.check), ".", id.number);
}

} // namespace berylcrank
