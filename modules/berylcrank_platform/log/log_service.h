#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Record of the platform's log. @see log_service */
struct log_record {
    std::uint64_t offset{0};
    std::string data;
};

/** Result of a read from the log. @see log_service::read */
struct log_page {
    std::uint64_t first_offset{0}; ///< Oldest offset that the log retains.
    std::uint64_t next_offset{0};  ///< Offset of the next append.
    std::vector<log_record> records;
};

/** Reason why a call to the log failed. @see log_service */
struct log_error {
    enum class kind : std::uint8_t {
        no_response, ///< Timeout: the log may be down, or this node may be partitioned from it.
        refused,     ///< Connection refused or status 5xx: the machine is reachable, the log is down.
        throttled,   ///< Too many appends; nothing was appended.
        malformed,   ///< The response could not be parsed.
        too_large,   ///< The record exceeds the log's size limit; nothing was appended.
    };

    kind what{kind::no_response};
    std::string message;
};

/** Append-only log of the platform. Calls block, so only control threads may make them.

    Failed calls return a `log_error`. After a failed append the record may have been appended nevertheless,
    unless the error is `throttled` or `too_large`.
    @see log_record
*/
class log_service {
public:
    log_service() = default;
    log_service(const log_service&) = delete;
    log_service& operator=(const log_service&) = delete;
    virtual ~log_service() = default;

    /** Appends a record and returns its offset. */
    virtual boost::leaf::result<std::uint64_t> append(std::string_view data) = 0;

    /** Reads up to `max` records, starting at offset `from`. If there is no record yet, waits up to `wait`
        for one. If `from` is less than the first retained offset, reading starts at the first retained
        record. */
    virtual boost::leaf::result<log_page> read(std::uint64_t from, std::uint32_t max, millis wait) = 0;

    /** Aborts calls in progress, so that a thread that waits for the log can be stopped. Later calls fail.
        Safe from any thread. */
    virtual void cancel() {}
};

} // namespace berylcrank
