#include "modules/berylcrank_node/request/load_header.h"

#include <algorithm>
#include <charconv>

namespace berylcrank {

namespace {

// Longer values are not of this system and would only take memory in the tables of incarnations.
constexpr std::size_t max_incarnation_length = 64;

std::optional<std::uint32_t> parse_count(std::string_view text) {
    std::uint32_t n = 0;
    const auto [it, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || it != text.data() + text.size()) {
        return std::nullopt;
    }
    return n;
}

void parse_field(std::string_view key, std::string_view value, upstream_load& out,
                 std::optional<std::uint32_t>& in_flight, std::uint32_t& slots) {
    if (key == "in_flight") {
        in_flight = parse_count(value);
    } else if (key == "slots") {
        slots = parse_count(value).value_or(0);
    } else if (key == "state") {
        out.is_cold = value == "cold";
        out.is_draining = value == "draining";
    } else if (key == "incarnation" && value.size() <= max_incarnation_length) {
        out.incarnation = value;
    }
}

} // namespace

upstream_load parse_load_header(std::string_view text) {
    upstream_load out;
    std::optional<std::uint32_t> in_flight;
    std::uint32_t slots = 0;
    while (!text.empty()) {
        const auto end = std::min(text.find(';'), text.size());
        const auto field = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto split = field.find('=');
        if (split != std::string_view::npos) {
            parse_field(field.substr(0, split), field.substr(split + 1), out, in_flight, slots);
        }
    }
    if (in_flight) {
        out.report = load_report{.in_flight = *in_flight, .slots = slots, .cold = out.is_cold};
    }
    return out;
}

} // namespace berylcrank
