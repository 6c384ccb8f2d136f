#include "bench/path/server_process.h"

#include <csignal>
#include <ctime>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace berylcrank::bench {

server_process::server_process(const std::function<std::string()>& serve) : pid_(-1) {
    int ends[2];
    if (pipe(ends) != 0) {
        throw std::runtime_error("cannot create a pipe");
    }
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto address = serve() + "\n";
        if (write(ends[1], address.data(), address.size()) < 0) {
            _exit(1);
        }
        for (;;) {
            pause();
        }
    }
    char c = 0;
    while (read(ends[0], &c, 1) == 1 && c != '\n') {
        address_ += c;
    }
    close(ends[0]);
    close(ends[1]);
}

server_process::~server_process() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
}

double server_process::cpu_s() const {
    clockid_t clock{};
    timespec it{};
    if (clock_getcpuclockid(pid_, &clock) != 0 || clock_gettime(clock, &it) != 0) {
        throw std::runtime_error("cannot read the CPU time of a part");
    }
    return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_nsec) * 1e-9;
}

} // namespace berylcrank::bench
