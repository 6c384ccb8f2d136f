#include "bench/path/server_process.h"

#include <csignal>
#include <ctime>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace berylcrank::bench {

server_process::server_process(const std::function<std::string()>& start_server) : pid_(-1) {
    int pipe_ends[2];
    if (pipe(pipe_ends) != 0) {
        throw std::runtime_error("cannot create a pipe");
    }
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto address = start_server() + "\n";
        if (write(pipe_ends[1], address.data(), address.size()) < 0) {
            _exit(1);
        }
        for (;;) {
            pause();
        }
    }
    char c = 0;
    while (read(pipe_ends[0], &c, 1) == 1 && c != '\n') {
        address_ += c;
    }
    close(pipe_ends[0]);
    close(pipe_ends[1]);
}

server_process::~server_process() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
}

double server_process::cpu_s() const {
    clockid_t clock{};
    timespec time{};
    if (clock_getcpuclockid(pid_, &clock) != 0 || clock_gettime(clock, &time) != 0) {
        throw std::runtime_error("cannot read the CPU time of a server process");
    }
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

} // namespace berylcrank::bench
