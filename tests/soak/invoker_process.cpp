#include "invoker_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace pathstack::soak {

InvokerProcess::InvokerProcess(const std::string& program, const std::string& config, const std::string& log,
                               const std::vector<std::string>& environment) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string program_word = program, config_word = config;
  char* words[] = {program_word.data(), config_word.data(), nullptr};
  std::vector<std::string> entries = environment;
  for (char** entry = environ; *entry != nullptr; ++entry) entries.emplace_back(*entry);
  std::vector<char*> pointers;
  for (std::string& entry : entries) pointers.push_back(entry.data());
  pointers.push_back(nullptr);
  const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr, words, pointers.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + program + ": " + std::strerror(error));
}

InvokerProcess::~InvokerProcess() {
  if (ended_ || pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void InvokerProcess::send_signal(int signal) const {
  if (!ended_) kill(pid_, signal);
}

bool InvokerProcess::has_ended() {
  int status = 0;
  if (!ended_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    ended_ = true;
    if (WIFEXITED(status)) exit_status_ = WEXITSTATUS(status);
  }
  return ended_;
}

bool InvokerProcess::is_sanitized() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/maps");
  for (std::string line; std::getline(file, line);) {
    if (line.find("libasan") != std::string::npos) return true;
  }
  return false;
}

double InvokerProcess::peak_memory_mb() const {
  if (is_sanitized()) return 0;
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmHWM:", 0) == 0) return std::stod(line.substr(6)) / 1024;
  }
  return 0;
}

std::size_t InvokerProcess::descriptors() const {
  std::error_code ignored;
  std::size_t count = 0;
  const std::filesystem::path folder = "/proc/" + std::to_string(pid_) + "/fd";
  for (auto entry = std::filesystem::directory_iterator(folder, ignored);
       !ignored && entry != std::filesystem::directory_iterator(); entry.increment(ignored)) {
    ++count;
  }
  return count;
}

}  // namespace pathstack::soak
