#pragma once

#include <csignal>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace berylcrank::testing {

/** A child process under test. Its standard output is captured.

    A stand-in or node prints the line `listening name=address ...` when it accepts connections.
*/
class child {
public:
    /** Starts the program `arguments[0]` with the other arguments. Throws `std::runtime_error` if it cannot
        be started. */
    explicit child(std::vector<std::string> arguments);

    /** Kills the process if it is still running. */
    ~child();

    child(const child&) = delete;
    child& operator=(const child&) = delete;

    /** Waits for the `listening` line and returns its fields. Throws `std::runtime_error` after 20 s. */
    std::map<std::string, std::string> wait_listening();

    /** Waits for a line that contains `text` and returns it. Throws `std::runtime_error` after `timeout_ms`
        or at the end of the output. */
    std::string wait_line(const std::string& text, int timeout_ms = 20000);

    /** Sends a signal to the process. */
    void send(int signal) const;

    /** Waits until the process exits. Returns the exit code, or 128 plus the number of the signal that ended
        it. Throws `std::runtime_error` after `timeout_ms`. */
    int wait_exit(int timeout_ms = 20000);

    /** The standard output that was read so far. */
    [[nodiscard]] const std::string& output() const { return output_; }

    [[nodiscard]] pid_t id() const { return pid_; }

private:
    bool read_more(int timeout_ms);

    pid_t pid_{-1};
    int output_fd_{-1};
    std::string output_;
    bool ended_{false};
    int exit_code_{0};
};

/** Returns the path of a program of this build, e.g. "berylcrank" or "standin_log". */
std::string program_path(const std::string& name);

/** Creates a file with `text` in a temporary folder of this process and returns its path. The folder is
    removed at exit. */
std::string temporary_file(const std::string& name, const std::string& text);

} // namespace berylcrank::testing
