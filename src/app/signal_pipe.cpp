#include "app/signal_pipe.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace lotusyard::app {
namespace {

volatile std::sig_atomic_t g_terminate = 0;
volatile std::sig_atomic_t g_reload = 0;
volatile std::sig_atomic_t g_print_counters = 0;
int g_write_fd = -1;

void on_signal(int signal) {
  switch (signal) {
    case SIGUSR1: g_print_counters = 1; break;
    case SIGHUP: g_reload = 1; break;
    default: g_terminate = 1; break;
  }
  const char byte = 0;
  if (write(g_write_fd, &byte, 1) < 0) return;  // the pipe is full: the loop wakes anyway
}

bool take_flag(volatile std::sig_atomic_t& flag) {
  const bool was_set = flag != 0;
  flag = 0;
  return was_set;
}

}  // namespace

SignalPipe::SignalPipe(net::Loop& loop) : loop_(loop) {
  int ends[2];
  if (pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) throw std::runtime_error("no pipe for signals");
  read_end_ = net::Socket(ends[0]);
  write_end_ = net::Socket(ends[1]);
  g_write_fd = write_end_.fd();
  loop_.watch(read_end_.fd(), *this, POLLIN);
  struct sigaction action {};
  action.sa_handler = on_signal;
  for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaction(signal, &action, nullptr);
  action.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &action, nullptr);
}

SignalPipe::~SignalPipe() { loop_.forget(read_end_.fd(), *this); }

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

}  // namespace lotusyard::app
