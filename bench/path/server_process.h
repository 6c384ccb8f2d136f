#pragma once

#include <functional>
#include <string>
#include <sys/types.h>

namespace berylcrank::bench {

/** A part of the benchmark in a process of its own, so that its CPU time can be told apart. */
class server_process {
public:
    /** Forks; the child calls `serve`, which returns the address to report, and stays until it is killed.
       Call before the parent has threads. */
    explicit server_process(const std::function<std::string()>& serve);

    /** Kills the child. */
    ~server_process();

    server_process(const server_process&) = delete;
    server_process& operator=(const server_process&) = delete;

    [[nodiscard]] const std::string& address() const { return address_; }

    /** CPU time used so far, in seconds. */
    [[nodiscard]] double cpu_s() const;

private:
    pid_t pid_;
    std::string address_;
};

} // namespace berylcrank::bench
