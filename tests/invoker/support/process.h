/// The program as a process, with a stand-in host, a stand-in membership log and a configuration.
#pragma once

#include <fcntl.h>
#include <spawn.h>
#include <sys/ioctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "support/settings.h"
#include "support/stand_in_host.h"
#include "support/stand_in_log.h"

namespace pathstack::test {

inline constexpr Millis kMaxWait{20000};

/// A file that is removed with this object.
class TemporaryFile {
 public:
  TemporaryFile() {
    const char* const folder = std::getenv("TMPDIR");
    path_ = std::string(folder != nullptr ? folder : "/tmp") + "/pathstack-test-XXXXXX";
    const int fd = mkstemp(path_.data());
    REQUIRE(fd >= 0);
    close(fd);
  }
  ~TemporaryFile() { unlink(path_.c_str()); }
  void write(const nlohmann::json& value) { std::ofstream(path_) << value; }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// The program as a deployment starts it. The destructor kills it if it still runs.
class Process {
 public:
  explicit Process(const std::string& config, const std::string& program = PATHSTACK_INVOKER) {
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (const int out : {1, 2}) posix_spawn_file_actions_adddup2(&actions, ends[1], out);
    for (const int end : ends) posix_spawn_file_actions_addclose(&actions, end);
    std::string binary = program, file = config;
    char* arguments[] = {binary.data(), file.data(), nullptr};
    REQUIRE(posix_spawn(&pid_, binary.c_str(), &actions, nullptr, arguments, environ) == 0);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    output_ = net::Socket(ends[0]);
    fcntl(output_.fd(), F_SETFL, O_NONBLOCK);
  }
  ~Process() {
    if (pid_ > 0) kill(pid_, SIGKILL);
    if (pid_ > 0) waitpid(pid_, nullptr, 0);
  }
  pid_t pid() const { return pid_; }
  void send_signal(int signal) const { REQUIRE(kill(pid_, signal) == 0); }
  // Shrinks the pipe of its output to the minimum that the system allows. Only `output` reads the pipe.
  void shrink_output() const { REQUIRE(fcntl(output_.fd(), F_SETPIPE_SZ, 1) > 0); }
  int unread_output() const {
    int bytes = 0;
    REQUIRE(ioctl(output_.fd(), FIONREAD, &bytes) == 0);
    return bytes;
  }
  const std::string& output() {
    char bytes[4096];
    for (ssize_t got; (got = read(output_.fd(), bytes, sizeof bytes)) > 0;)
      text_.append(bytes, static_cast<std::size_t>(got));
    return text_;
  }
  // The exit status once the program has ended, 128 plus the number of the signal that ended it.
  std::optional<int> exit_status() {
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return status_;
  }

 private:
  pid_t pid_ = -1;
  net::Socket output_;
  std::string text_;
  std::optional<int> status_;
};

/// The program with one host, a membership log and its configuration.
struct ProcessFixture {
  net::Loop loop;
  net::BufferPool pool;
  StandInHost host{loop, pool};
  StandInLog log{loop, pool};
  TemporaryFile file;
  nlohmann::json config;
  std::optional<Process> program;

  // The membership log is reachable, as the program would not use the host while its list is not confirmed.
  explicit ProcessFixture(double deadline, std::size_t buffers = 256) : pool(buffers) {
    log.events = 1;
    log.stays_open = true;
    log.truncates_replies = false;
    config = {{"name", "n1"},
              {"listen", "127.0.0.1:0"},
              {"seed", "8c1f30d27a5be964"},
              {"limits", {{"memory_mb", 64}, {"sockets", 256}}},
              {"changelog", log.server.address()},
              {"known", {{"seq", 1}, {"results", nlohmann::json::array()}}}};
    config["known"]["results"].push_back(
        {{"seq", 1},
         {"fleet",
          {{"complete", true},
           {"members",
            {{{"id", "h0"}, {"host_port", host.server.address()}, {"phase", "ready"}, {"size", 1}}}}}}});
    config["settings"] = {
        {"Bounds", {{"SendCap", 3}, {"Cancel", true}, {"ConnectTimeout", 250}}},
        {"Classes",
         {{{"Name", "record"}, {"Semantics", "once"}, {"Aim", deadline}, {"HardLimit", deadline}}}},
        {"FamilyInfo", {{"OnMiss", "load"}, {"LingerIdle", 9000}}},
        {"Rules", {{"GraceToAnswer", 8}, {"DrainGrace", 250}}}};
  }
  // Starts the program and returns the address on which it listens.
  std::string start(const std::string& binary = PATHSTACK_INVOKER) {
    file.write(config);
    program.emplace(file.path(), binary);
    REQUIRE(turn_until([&] { return program->output().find("listening on ") != std::string::npos; }));
    const std::string& output = program->output();
    const auto at = output.find("listening on ") + 13;
    return output.substr(at, output.find('\n', at) - at);
  }
  template <typename Until>
  bool turn_until(const Until& until) {
    const Millis end = loop.now() + kMaxWait;
    while (!until() && loop.now() < end) {
      loop.turn(loop.now() + Millis(10), [] {});
      send_sequence_number();
    }
    return until();
  }

 private:
  Millis next_send_{0};

  // Sends the last sequence number each second, as the membership log does.
  void send_sequence_number() {
    if (loop.now() < next_send_) return;
    next_send_ = loop.now() + Millis(1000);
    for (const auto& peer : log.server.peers) peer->write(std::to_string(log.events) + "\n");
  }
};

}  // namespace pathstack::test
