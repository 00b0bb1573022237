/// One invoker of the deployment: its successive processes, its configuration and its clients.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "call_client.h"
#include "fault_control_file.h"
#include "fleet.h"
#include "invoker_process.h"
#include "net/loop.h"
#include "record.h"
#include "schedule.h"

namespace pathstack::soak {

/// Paths of the programs and files of a run.
struct ProgramFiles {
  std::string program;         // invoker program
  std::string second_program;  // invoker program of slots with an odd index; empty: `program`
  std::string fault_library;   // library to preload into invokers
  std::string folder;          // folder for configuration, log and control files
};

/// Starts the invoker program, restarts it whenever it ends, and sends calls to it at random times. Must be
/// destroyed before the loop.
class InvokerSlot {
 public:
  InvokerSlot(net::Loop& loop, net::BufferPool& pool, Record& record, std::function<Millis()> clock,
              Fleet& fleet, const Deployment& deployment, const ProgramFiles& files, int index,
              std::uint64_t seed);
  InvokerSlot(const InvokerSlot&) = delete;
  InvokerSlot& operator=(const InvokerSlot&) = delete;

  /// Writes the configuration and starts a process. Throws std::runtime_error if the program does not start.
  void start();
  /// True once the running process has replied `UP` to a CHECK request.
  bool is_ready() const;
  /// Starts sending calls.
  void begin_traffic();
  /// Stops sending calls.
  void end_traffic() { traffic_on_ = false; }

  void apply(const SignalFault& fault);
  void apply(const ClientFault& fault);
  /// Adds to the offset of the wall clock of this and later processes; the clock moves in whole seconds.
  void step_wall_clock(Millis by);
  /// Sets the rate at which system calls of the process fail; 0: none fails.
  void fail_system_calls(int per_mille) {
    control_.control().failures_per_mille = static_cast<unsigned>(per_mille);
  }

 private:
  net::Loop& loop_;
  net::BufferPool& pool_;
  Record& record_;
  std::function<Millis()> clock_;
  Fleet& fleet_;
  Deployment deployment_;
  ProgramFiles files_;
  int index_;
  std::mt19937_64 random_;
  std::string config_path_, log_path_;
  std::string address_ = "127.0.0.1:0";  // holds the actual port after the first start
  FaultControlFile control_;
  std::unique_ptr<InvokerProcess> process_;
  std::size_t lifetime_index_ = 0;  // in Record::process_lifetimes
  std::size_t log_read_ = 0;
  std::shared_ptr<CallClient> readiness_client_;
  std::vector<std::shared_ptr<CallClient>> clients_;
  std::vector<std::shared_ptr<CallClient>> fault_clients_;
  bool traffic_on_ = false;
  std::uint64_t calls_ = 0;  // sent so far

  ProcessLifetime& lifetime() { return record_.process_lifetimes[lifetime_index_]; }
  void after(Millis delay, std::function<void()> callback);
  void write_config();
  void poll_process();
  void read_listen_address();
  void check_readiness();
  void sample_resources();
  void process_ended();
  void terminate();
  void kill_now();
  bool may_connect();
  CallClient* free_client();
  std::shared_ptr<CallClient> connect();
  void call(bool is_retry = false, const CallRequest* request = nullptr);
  CallRequest next_request();
  void schedule_call();
  // Uniform in [0, 1).
  double fraction() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
};

}  // namespace pathstack::soak
