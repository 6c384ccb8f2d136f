#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Log event of a request, or a state change on a node that handled it. */
struct timeline_event {
    std::int64_t at_ms{0}; ///< Unix time in milliseconds by the clock of the node.
    std::string node;
    std::string event;
    std::string fields; ///< All other fields, as a JSON object.
};

/** Collects the log events of one request from the logs of several nodes and orders them by time.

    Reads the log lines of gateway nodes. Text before the JSON object of a line is ignored.
    @see event_log
*/
class request_timeline {
public:
    /** Time before the first event of the request in which state changes are included, in milliseconds. */
    static constexpr std::int64_t context_window_ms = 3000;

    explicit request_timeline(std::string request_id) : request_id_(std::move(request_id)) {}

    /** Reads log lines. Lines that are not log events are counted and skipped. */
    void read(std::istream& in);

    /** Returns the events of the request and the state changes that may explain them, ordered by time.

        State changes are included from `context_window_ms` before the first event to the last event, on
        nodes that handled the request. Changes of an upstream are included only if an event of the request
        names that upstream. */
    [[nodiscard]] std::vector<timeline_event> events() const;

    /** Returns a description of the outcome and the last attempt; empty if there is no event of the
        request. */
    [[nodiscard]] std::string cause() const;

    /** Returns the number of lines that could not be parsed. */
    [[nodiscard]] std::size_t unreadable_lines() const { return unreadable_lines_; }

    /** Formats one line per event. Times are relative to the first event of the request. */
    [[nodiscard]] std::string to_text() const;

    /** Formats the timeline as one JSON object. */
    [[nodiscard]] std::string to_json() const;

private:
    std::string request_id_;
    std::vector<timeline_event> request_events_;
    std::vector<timeline_event> context_events_;
    std::size_t unreadable_lines_{0};
};

} // namespace berylcrank
