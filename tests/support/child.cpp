#include "tests/support/child.h"

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace berylcrank::testing {

namespace {

int remaining_ms(std::chrono::steady_clock::time_point end) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
    return left.count() < 0 ? 0 : static_cast<int>(left.count());
}

std::chrono::steady_clock::time_point deadline_after(int timeout_ms) {
    return std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
}

struct temporary_folder {
    temporary_folder() {
        std::string pattern = (std::filesystem::temp_directory_path() / "berylcrank-XXXXXX").string();
        if (mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error("cannot create a temporary folder");
        }
        path = pattern;
    }
    ~temporary_folder() {
        std::error_code ec;
        std::filesystem::remove_all(path, ec);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    std::filesystem::path path;
};

} // namespace

child::child(std::vector<std::string> arguments) {
    int pipe_fds[2];
    if (pipe(pipe_fds) != 0) {
        throw std::runtime_error("cannot create a pipe");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_fds[1], STDOUT_FILENO);
    posix_spawn_file_actions_addclose(&actions, pipe_fds[0]);
    posix_spawn_file_actions_addclose(&actions, pipe_fds[1]);
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (auto& argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const int ec = posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_fds[1]);
    output_fd_ = pipe_fds[0];
    if (ec != 0) {
        close(output_fd_);
        throw std::runtime_error("cannot start " + arguments[0] + ": " + std::strerror(ec));
    }
}

child::~child() {
    if (!ended_) {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
    close(output_fd_);
}

std::map<std::string, std::string> child::wait_listening() {
    const auto line = wait_line("listening ");
    std::map<std::string, std::string> fields;
    std::istringstream words(line);
    for (std::string word; words >> word;) {
        const auto split = word.find('=');
        if (split != std::string::npos) {
            fields[word.substr(0, split)] = word.substr(split + 1);
        }
    }
    return fields;
}

std::string child::wait_line(const std::string& text, int timeout_ms) {
    const auto end = deadline_after(timeout_ms);
    for (;;) {
        const auto at = output_.find(text);
        const auto line_end = at == std::string::npos ? at : output_.find('\n', at);
        if (line_end != std::string::npos) {
            const auto line_start = output_.rfind('\n', at);
            const auto first = line_start == std::string::npos ? 0 : line_start + 1;
            return output_.substr(first, line_end - first);
        }
        const int left = remaining_ms(end);
        if (left == 0 || !read_more(left)) {
            throw std::runtime_error("no line contains \"" + text + "\" in the output: " + output_);
        }
    }
}

void child::send(int signal) const {
    kill(pid_, signal);
}

int child::wait_exit(int timeout_ms) {
    const auto end = deadline_after(timeout_ms);
    while (!ended_) {
        int status = 0;
        const auto got = waitpid(pid_, &status, WNOHANG);
        if (got == pid_) {
            ended_ = true;
            exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        } else if (remaining_ms(end) == 0) {
            throw std::runtime_error("process did not exit before the timeout");
        } else if (!read_more(10)) {
            poll(nullptr, 0, 5); // The process has closed its output but has not exited yet.
        }
    }
    while (read_more(0)) {
    }
    return exit_code_;
}

bool child::read_more(int timeout_ms) {
    pollfd polled{.fd = output_fd_, .events = POLLIN, .revents = 0};
    if (poll(&polled, 1, timeout_ms) <= 0) {
        return timeout_ms != 0;
    }
    char buf[4096];
    const auto n = read(output_fd_, buf, sizeof(buf));
    if (n <= 0) {
        return false;
    }
    output_.append(buf, static_cast<std::size_t>(n));
    return true;
}

std::string program_path(const std::string& name) {
    return std::string(BERYLCRANK_BUILD_DIR) + "/" + name;
}

std::string temporary_file(const std::string& name, const std::string& text) {
    static const temporary_folder folder;
    const auto path = folder.path / name;
    std::ofstream(path) << text;
    return path.string();
}

} // namespace berylcrank::testing
