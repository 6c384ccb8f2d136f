#pragma once

#include <functional>
#include <string>
#include <sys/types.h>

namespace berylcrank::bench {

/** A server of the benchmark in a child process, so that its CPU time is measured separately. */
class server_process {
public:
    /** Forks. The child calls `start_server`, reports the returned address and waits until it is killed.
        Must be called before the parent process has threads. Throws std::runtime_error if the pipe cannot be
        created. */
    explicit server_process(const std::function<std::string()>& start_server);

    /** Kills the child. */
    ~server_process();

    server_process(const server_process&) = delete;
    server_process& operator=(const server_process&) = delete;

    /** Address that `start_server` returned. */
    [[nodiscard]] const std::string& address() const { return address_; }

    /** CPU time used by the child so far, in seconds. Throws std::runtime_error if it cannot be read. */
    [[nodiscard]] double cpu_s() const;

private:
    pid_t pid_;
    std::string address_;
};

} // namespace berylcrank::bench
