#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** One record of the platform's log. @see log_service */
struct log_record {
    std::uint64_t offset{0};
    std::string data;
};

/** Records read from the log. @see log_service::read */
struct log_page {
    std::uint64_t first_offset{0}; ///< Oldest offset that the log still keeps.
    std::uint64_t next_offset{0};  ///< Offset that the next append will get.
    std::vector<log_record> records;
};

/** Why a call to the log failed; the error object of `log_service`. @see log_service */
struct log_error {
    enum class kind : std::uint8_t {
        no_response, ///< No answer in time: the log may be down, or this node may be cut off from it.
        refused,     ///< Connection refused or a 5xx answer: the log's machine is reachable, the log is down.
        throttled,   ///< Too many appends; nothing was appended.
        malformed,   ///< The answer could not be read.
        too_large,   ///< The record is larger than the log takes; nothing was appended.
    };

    kind what{kind::no_response};
    std::string message;
};

/** The platform's append-only log. Calls block; used on control threads only.

    Errors are `boost::leaf` results that carry a `log_error`. After a failed append other than `throttled`
   and `too_large` the record may still have been appended.
    @see log_record
*/
class log_service {
public:
    log_service() = default;
    log_service(const log_service&) = delete;
    log_service& operator=(const log_service&) = delete;
    virtual ~log_service() = default;

    /** Appends one record and returns its offset. */
    virtual boost::leaf::result<std::uint64_t> append(std::string_view data) = 0;

    /** Reads up to `max` records from offset `from`; waits up to `wait` for one if there is none. A `from`
       below the first retained offset yields records from the first retained one. */
    virtual boost::leaf::result<log_page> read(std::uint64_t from, std::uint32_t max, millis wait) = 0;

    /** Ends calls in progress, so that a thread that waits for the log can be stopped; later calls fail. Safe
       from any thread. */
    virtual void cancel() {}
};

} // namespace berylcrank
