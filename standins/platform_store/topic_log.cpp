#include "standins/platform_store/topic_log.h"

#include <boost/endian/conversion.hpp>

namespace berylcrank::standin {

namespace {

constexpr std::size_t length_bytes = 4;

std::string framed(const std::string& record) {
    std::string head(length_bytes, '\0');
    boost::endian::endian_store<std::uint32_t, length_bytes, boost::endian::order::big>(
        reinterpret_cast<unsigned char*>(head.data()), static_cast<std::uint32_t>(record.size()));
    return head + record;
}

} // namespace

void topic_log::append(std::string record) {
    const std::size_t n = record.empty() ? 0 : static_cast<unsigned char>(record[0]);
    if (n > 0 && record.size() >= 1 + n) {
        const auto key = record.substr(1, n);
        auto value = record.substr(1 + n);
        if (value.empty()) {
            newest_.erase(key);
        } else {
            newest_[key] = {.offset = end(), .value = std::move(value)};
        }
    }
    records_.push_back(std::move(record));
}

void topic_log::trim(std::uint64_t before) {
    while (first_ < before && !records_.empty()) {
        records_.erase(records_.begin());
        ++first_;
    }
}

std::optional<std::string> topic_log::read(std::uint64_t from) const {
    if (from < first_ || from > end()) {
        return std::nullopt;
    }
    std::string result;
    for (std::uint64_t i = from; i < end(); ++i) {
        result += framed(records_[i - first_]);
    }
    return result;
}

std::optional<std::vector<std::string>> split_records(std::string_view bytes) {
    std::vector<std::string> result;
    while (!bytes.empty()) {
        if (bytes.size() < length_bytes) {
            return std::nullopt;
        }
        const std::size_t n =
            boost::endian::endian_load<std::uint32_t, length_bytes, boost::endian::order::big>(
                reinterpret_cast<const unsigned char*>(bytes.data()));
        bytes.remove_prefix(length_bytes);
        if (n > bytes.size()) {
            return std::nullopt;
        }
        result.emplace_back(bytes.substr(0, n));
        bytes.remove_prefix(n);
    }
    return result;
}

std::string frame_keyed(const std::string& key, const std::string& value) {
    return framed(std::string(1, static_cast<char>(key.size())) + key + value);
}

} // namespace berylcrank::standin
