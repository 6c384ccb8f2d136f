#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank::standin {

/** One partition of a topic: records with offsets, and the newest record of each key of a keyed topic. */
class topic_log {
public:
    /** Appends a record. */
    void append(std::string record);

    /** Drops the records before an offset; the newest of each key stays readable by key. */
    void trim(std::uint64_t before);

    [[nodiscard]] std::uint64_t end() const { return first_ + records_.size(); }
    [[nodiscard]] std::uint64_t first() const { return first_; }

    /** The records from an offset on, each with its length before it; nothing if they were dropped. */
    [[nodiscard]] std::optional<std::string> read(std::uint64_t from) const;

    struct newest_record {
        std::uint64_t offset{0};
        std::string value;
    };
    [[nodiscard]] const std::map<std::string, newest_record>& newest() const { return newest_; }

private:
    std::vector<std::string> records_;
    std::uint64_t first_{0};
    std::map<std::string, newest_record> newest_;
};

/** Splits bytes into records by the lengths before them; nothing if they do not fit. */
std::optional<std::vector<std::string>> split_records(std::string_view bytes);

/** A keyed record with its length before it. */
std::string frame_keyed(const std::string& key, const std::string& value);

} // namespace berylcrank::standin
