#include "app/signal_pipe.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <system_error>

#include "net/system_calls.h"

namespace pathstack::app {
namespace {

volatile std::sig_atomic_t g_terminate = 0;
volatile std::sig_atomic_t g_reload = 0;
volatile std::sig_atomic_t g_print_counters = 0;
volatile std::sig_atomic_t g_write_fd = -1;

constexpr int kPipeAttempts = 60;
constexpr std::chrono::milliseconds kPipeRetryDelay{50};

void on_signal(int signal) {
  switch (signal) {
    case SIGUSR1: g_print_counters = 1; break;
    case SIGHUP: g_reload = 1; break;
    default: g_terminate = 1; break;
  }
  // The handler may run between a failed system call and the read of its errno.
  const int interrupted_errno = errno;
  const char byte = 0;
  const ssize_t written = write(g_write_fd, &byte, 1);
  static_cast<void>(written);  // fails if there is no pipe yet or it is full: the loop wakes up all the same
  errno = interrupted_errno;
}

bool take_flag(volatile std::sig_atomic_t& flag) {
  const bool was_set = flag != 0;
  flag = 0;
  return was_set;
}

// Retries while descriptors or memory are short, as such a shortage often lasts only a moment.
void open_pipe(int ends[2]) {
  for (int attempt = 1; net::system_calls().pipe(ends, O_NONBLOCK | O_CLOEXEC) != 0; ++attempt) {
    const int error = errno;
    const bool is_transient = error == EMFILE || error == ENFILE || error == ENOMEM;
    if (!is_transient || attempt == kPipeAttempts) {
      throw std::system_error(error, std::generic_category(), "cannot open the signal pipe");
    }
    net::pause_for(kPipeRetryDelay);
  }
}

}  // namespace

// The handlers are installed first: a signal that arrives before the pipe is open is kept in its flag.
SignalPipe::SignalPipe(net::Loop& loop) : loop_(loop) {
  install_handlers();
  int ends[2];
  open_pipe(ends);
  read_end_ = net::Socket(ends[0]);
  write_end_ = net::Socket(ends[1]);
  g_write_fd = write_end_.fd();
  loop_.watch(read_end_.fd(), *this, POLLIN);
}

SignalPipe::~SignalPipe() {
  g_write_fd = -1;
  loop_.unwatch(read_end_.fd(), *this);
}

void SignalPipe::install_handlers() {
  struct sigaction action {};
  action.sa_handler = on_signal;
  for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaction(signal, &action, nullptr);
  action.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &action, nullptr);
}

Signals SignalPipe::take() {
  Signals signals;
  signals.terminate = take_flag(g_terminate);
  signals.reload = take_flag(g_reload);
  signals.print_counters = take_flag(g_print_counters);
  return signals;
}

void SignalPipe::ready(short) {
  char bytes[64];
  while (read(read_end_.fd(), bytes, sizeof bytes) > 0) {}
}

}  // namespace pathstack::app
