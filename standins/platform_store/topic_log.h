#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank::standin {

/** A partition of a topic: records with offsets, and the newest record of each key if the topic is keyed. */
class topic_log {
public:
    /** Appends a record. A keyed record is one byte with the key's length, the key and the value; an empty
        value removes the key. */
    void append(std::string record);

    /** Removes the records before an offset. The newest record of each key stays available from `newest`. */
    void trim(std::uint64_t before);

    /** Offset of the next record to be appended. */
    [[nodiscard]] std::uint64_t end() const { return first_ + records_.size(); }
    /** Offset of the oldest record that is still stored. */
    [[nodiscard]] std::uint64_t first() const { return first_; }

    /** Returns the length-prefixed records from an offset on, or nothing if the offset was trimmed or
        is beyond the end. */
    [[nodiscard]] std::optional<std::string> read(std::uint64_t from) const;

    /** The newest value of a key and the offset of its record. */
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

/** Splits length-prefixed records. Returns nothing if a length exceeds the remaining bytes. */
std::optional<std::vector<std::string>> split_records(std::string_view bytes);

/** Encodes a keyed record with its length prefix. */
std::string frame_keyed(const std::string& key, const std::string& value);

} // namespace berylcrank::standin
