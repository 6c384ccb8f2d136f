#pragma once

#include <csignal>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace berylcrank::testing {

/** A process under test: started from its path, stopped by its id. Its standard output is read by line.

    A stand-in or node prints one line `listening name=address ...` once it serves.
*/
class child {
public:
    /** Starts `arguments[0]` with the rest as its arguments; fails the test if that is not possible. */
    explicit child(std::vector<std::string> arguments);

    /** Kills the process if it still runs. */
    ~child();

    child(const child&) = delete;
    child& operator=(const child&) = delete;

    /** Waits for the `listening` line and returns its fields; fails the test after 20 s. */
    std::map<std::string, std::string> wait_listening();

    /** Waits for a line that contains `text`; fails the test after `limit_ms`. */
    std::string wait_line(const std::string& text, int limit_ms = 20000);

    /** Sends a signal. */
    void send(int signal) const;

    /** Waits for the end; returns the exit code, or 128 plus the signal; fails the test after `limit_ms`. */
    int wait_exit(int limit_ms = 20000);

    /** Everything printed so far on standard output. */
    [[nodiscard]] const std::string& output() const { return output_; }

    [[nodiscard]] pid_t id() const { return pid_; }

private:
    bool read_more(int limit_ms);

    pid_t pid_{-1};
    int out_{-1};
    std::string output_;
    bool ended_{false};
    int exit_code_{0};
};

/** Path of a program of this build, e.g. "berylcrank" or "standin_log". */
std::string program(const std::string& name);

/** Creates a file with `text` in the test's temporary folder and returns its path; removed at exit. */
std::string temporary_file(const std::string& name, const std::string& text);

} // namespace berylcrank::testing
