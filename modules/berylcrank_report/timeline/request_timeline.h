#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** One log line that concerns a request, or a change of belief on a node that handled it. */
struct story_line {
    std::int64_t at_ms{0}; ///< Unix milliseconds by the clock of the node.
    std::string node;
    std::string event;
    std::string fields; ///< The other fields as JSON.
};

/** What the log lines of several nodes say of one request, in order of time.

    Takes the lines of gateway nodes as they were written, with or without other text before the JSON.
    @see event_log
*/
class request_story {
public:
    /** Changes of belief this long before the first line of the request are part of its story. */
    static constexpr std::int64_t belief_window_ms = 3000;

    explicit request_story(std::string request_id) : request_id_(std::move(request_id)) {}

    /** Reads lines; those that are no log lines are counted. */
    void read(std::istream& in);

    /** The lines of the request, and the changes of belief on its nodes around them. */
    [[nodiscard]] std::vector<story_line> lines() const;

    /** The cause in words, as far as the lines tell; empty if no line concerns the request. */
    [[nodiscard]] std::string cause() const;

    /** Lines that could not be read. */
    [[nodiscard]] std::size_t unreadable() const { return unreadable_; }

    /** The story as text, a line each, times from the first line on. */
    [[nodiscard]] std::string to_text() const;
    /** The story as one JSON object. */
    [[nodiscard]] std::string to_json() const;

private:
    std::string request_id_;
    std::vector<story_line> own_;
    std::vector<story_line> beliefs_;
    std::size_t unreadable_{0};
};

} // namespace berylcrank
