#include "modules/berylcrank_core/identity/request_id.h"

#include "absl/strings/str_cat.h"

#include <charconv>
#include <system_error>

namespace berylcrank {

namespace {

constexpr int decimal = 10;
constexpr int hexadecimal = 16;

/** Takes a number up to `separator` (or the end, if it is 0) off the front of `text`. */
bool take_number(std::string_view& text, char separator, int base, std::uint64_t& out) {
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
    request_id it;
    std::uint64_t mint_ms = 0;
    const bool ok = take_number(text, '-', hexadecimal, it.home.value) &&
                    take_number(text, '-', hexadecimal, mint_ms) &&
                    take_number(text, '-', hexadecimal, it.serial) &&
                    take_number(text, '.', hexadecimal, it.check) && take_number(text, 0, decimal, it.number);
    constexpr std::uint64_t longest_uptime_ms = 1ULL << 48U;
    if (!ok || mint_ms > longest_uptime_ms || !it.home.is_set()) {
        return std::nullopt;
    }
    it.minted = instant{millis{static_cast<std::int64_t>(mint_ms)}};
    return it;
}

std::string to_string(const request_id& it) {
    return absl::StrCat(to_hex(it.home), "-", absl::Hex(it.minted.since_start().count()), "-",
                        absl::Hex(it.serial), "-", absl::Hex(it.check), ".", it.number);
}

} // namespace berylcrank
