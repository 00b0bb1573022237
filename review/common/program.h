/// The invoker as a process of its own, started with the command of the deploy file.
#pragma once

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <string>

namespace pathstack::review {

/// One process of the invoker. Killed in the destructor if it still runs.
class Program {
 public:
  /// Runs `command` by /bin/sh from `root`, with BALANCER_CONFIG set to `config`; writes its output to `log`.
  Program(const std::string& root, const std::string& command, const std::string& config,
          const std::string& log) {
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("cannot fork");
    if (pid_ > 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the test, however that ends
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    setenv("BALANCER_CONFIG", config.c_str(), 1);
    if (chdir(root.c_str()) != 0) _exit(127);
    execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  ~Program() { kill_now(); }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  pid_t pid() const { return pid_; }
  void send_signal(int signal) const {
    if (!ended_) kill(pid_, signal);
  }
  /// True once the process has ended.
  bool has_ended() {
    if (!ended_ && waitpid(pid_, &status_, WNOHANG) == pid_) ended_ = true;
    return ended_;
  }
  /// The wait status; valid once the process has ended.
  int status() const { return status_; }
  void kill_now() {
    if (has_ended()) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
    ended_ = true;
  }

 private:
  pid_t pid_ = -1;
  int status_ = 0;
  bool ended_ = false;
};

/// A variable of the environment; `missing` if it is not set.
inline std::string environment(const char* name, const std::string& missing) {
  const char* const value = std::getenv(name);
  return value == nullptr ? missing : value;
}

/// The command under `key` in deploy/balancer.toml. Throws if there is none.
inline std::string deploy_command(const std::string& root, const std::string& key) {
  std::ifstream file(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind(key + " = \"", 0) != 0) continue;
    const auto first = line.find('"') + 1;
    return line.substr(first, line.rfind('"') - first);
  }
  throw std::runtime_error("no " + key + " in deploy/balancer.toml");
}

}  // namespace pathstack::review
