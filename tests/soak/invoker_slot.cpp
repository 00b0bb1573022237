#include "invoker_slot.h"

#include <signal.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "net/fields.h"
#include "site_settings.h"

namespace pathstack::soak {
namespace {

constexpr Millis kPollInterval{10};
constexpr Millis kSampleInterval{500};
constexpr Millis kNewConnectionsAfterTerm{300};  // clients still connect for this long
constexpr Millis kKillMargin{700};        // SIGKILL follows SIGTERM after the longest time limit plus this
constexpr Millis kLongestDeadline{3000};  // upper bound of the time limit in the delay of SIGKILL
constexpr Millis kRestartDelay{300};      // between the end of a process and the next start
constexpr Millis kSplitDelay{40};         // between the two parts of a split call
constexpr std::size_t kMaxCallsPerConnection = 32;
constexpr std::size_t kMaxClients = 6;

// `fraction` is in [0, 1).
Semantics pick_semantics(double fraction) {
  if (fraction < 0.5) return Semantics::repeatable;
  return fraction < 0.65 ? Semantics::keyed : Semantics::once;
}

}  // namespace

InvokerSlot::InvokerSlot(net::Loop& loop, net::BufferPool& pool, Record& record,
                         std::function<Millis()> clock, Fleet& fleet, const Deployment& deployment,
                         const ProgramFiles& files, int index, std::uint64_t seed)
    : loop_(loop),
      pool_(pool),
      record_(record),
      clock_(std::move(clock)),
      fleet_(fleet),
      deployment_(deployment),
      files_(files),
      index_(index),
      random_(seed),
      config_path_(files.folder + "/n" + std::to_string(index) + ".json"),
      log_path_(files.folder + "/n" + std::to_string(index) + ".log"),
      control_(files.folder + "/n" + std::to_string(index) + ".faults") {
  poll_process();
  sample_resources();
}

void InvokerSlot::after(Millis delay, std::function<void()> callback) {
  loop_.at(loop_.now() + delay, std::move(callback));
}

void InvokerSlot::write_config() {
  nlohmann::json config;
  config["name"] = "n" + std::to_string(index_);
  config["listen"] = address_;
  config["seed"] = net::hex16(random_());
  config["limits"] = {
      {"cores", 1.0}, {"memory_mb", deployment_.memory_mb}, {"sockets", deployment_.descriptors}};
  config["changelog"] = fleet_.log_address(index_);
  config["known"] = fleet_.known_events(index_);
  config["settings"] = site_settings(deployment_, index_);
  const std::string written = config_path_ + ".new";
  std::ofstream(written) << config;
  std::rename(written.c_str(), config_path_.c_str());
}

void InvokerSlot::start() {
  write_config();
  const bool runs_second = index_ % 2 == 1 && !files_.second_program.empty();
  process_ = std::make_unique<InvokerProcess>(
      runs_second ? files_.second_program : files_.program, config_path_, log_path_,
      std::vector<std::string>{"LD_PRELOAD=" + files_.fault_library,
                               std::string(kFaultControlVariable) + "=" + control_.path(),
                               "ASAN_OPTIONS=verify_asan_link_order=0:detect_leaks=0"});
  ProcessLifetime lifetime;
  lifetime.invoker = index_;
  lifetime.started = clock_();
  record_.process_lifetimes.push_back(lifetime);
  lifetime_index_ = record_.process_lifetimes.size() - 1;
}

bool InvokerSlot::is_ready() const {
  return process_ != nullptr && record_.process_lifetimes[lifetime_index_].ready.has_value();
}

void InvokerSlot::poll_process() {
  after(kPollInterval, [this] { poll_process(); });
  if (process_ == nullptr) return;
  if (process_->has_ended()) return process_ended();
  if (!lifetime().ready) check_readiness();
}

void InvokerSlot::read_listen_address() {
  std::ifstream log(log_path_);
  log.seekg(static_cast<std::streamoff>(log_read_));
  std::stringstream text;
  text << log.rdbuf();
  const std::string words = "listening on ";
  const auto at = text.str().rfind(words);
  if (at == std::string::npos) return;
  const auto begin = at + words.size();
  const auto end = text.str().find('\n', begin);
  if (end != std::string::npos) address_ = text.str().substr(begin, end - begin);
}

void InvokerSlot::check_readiness() {
  const bool knows_port = address_.substr(address_.rfind(':')) != ":0";
  if (!knows_port) return read_listen_address();
  if (readiness_client_ && readiness_client_->is_up()) {
    lifetime().ready = clock_();
    readiness_client_->disconnect();
    readiness_client_.reset();
    return;
  }
  if (readiness_client_ && !readiness_client_->closed()) return;
  readiness_client_ = connect();
  readiness_client_->check();
}

void InvokerSlot::sample_resources() {
  after(kSampleInterval, [this] { sample_resources(); });
  if (process_ == nullptr || process_->has_ended()) return;
  record_.samples.push_back({index_, clock_(), process_->peak_memory_mb(), process_->descriptors()});
}

void InvokerSlot::process_ended() {
  lifetime().ended = clock_();
  lifetime().exit_status = process_->exit_status();
  process_.reset();
  readiness_client_.reset();
  after(kRestartDelay, [this] {
    if (process_ == nullptr) start();
  });
}

void InvokerSlot::terminate() {
  if (process_ == nullptr || lifetime().terminated) return;
  lifetime().terminated = clock_();
  process_->send_signal(SIGTERM);
  const Millis longest = std::max(deployment_.repeatable_time_limit, deployment_.once_time_limit);
  const std::size_t terminated_index = lifetime_index_;
  after(std::min(longest, kLongestDeadline) + kKillMargin, [this, terminated_index] {
    if (process_ != nullptr && lifetime_index_ == terminated_index) kill_now();
  });
}

void InvokerSlot::kill_now() {
  if (process_ == nullptr || process_->has_ended()) return;
  lifetime().killed = clock_();
  process_->send_signal(SIGKILL);
}

void InvokerSlot::apply(const SignalFault& fault) {
  using Kind = SignalFault::Kind;
  // By the platform's rules an invoker gets no SIGHUP before it is ready, nor within its first second.
  const bool settled = is_ready() && clock_() > lifetime().started + Millis(1000);
  if (!settled || lifetime().terminated) return;
  if (fault.kind == Kind::kill) return kill_now();
  if (fault.kind == Kind::move) {
    fleet_.move_log(index_, fault.new_log_delay, fault.new_log_silent);
    write_config();
  }
  if (fault.kind == Kind::reload) write_config();
  const bool sends_hup = fault.kind != Kind::counters && fault.kind != Kind::restart;
  for (int i = 0; i < fault.times; ++i) {
    if (fault.kind == Kind::counters) process_->send_signal(SIGUSR1);
    if (sends_hup) process_->send_signal(SIGHUP);
  }
  if (fault.kind != Kind::restart && fault.kind != Kind::restart_reload) return;
  terminate();
  for (int i = 1; i < fault.times; ++i) process_->send_signal(SIGTERM);
}

void InvokerSlot::step_wall_clock(Millis by) {
  control_.control().wall_clock_offset_ms += static_cast<std::int64_t>(by.count());
}

std::shared_ptr<CallClient> InvokerSlot::connect() {
  return std::make_shared<CallClient>(loop_, pool_, record_, clock_, index_, address_,
                                      [this](const CallRequest& request) { call(true, &request); });
}

// Clients connect to a running process, and for a short time to one that is terminating.
bool InvokerSlot::may_connect() {
  if (!is_ready()) return false;
  return !lifetime().terminated || clock_() < *lifetime().terminated + kNewConnectionsAfterTerm;
}

// Destroys closed clients at the end of the turn, as this may run inside a function of one of them.
CallClient* InvokerSlot::free_client() {
  for (auto i = clients_.begin(); i != clients_.end();) {
    const bool closed = (*i)->closed();
    if (closed) loop_.defer_destruction(*i);
    i = closed ? clients_.erase(i) : std::next(i);
  }
  std::vector<CallClient*> open;
  for (const auto& client : clients_) {
    if (!client->ending() && client->open_calls() < kMaxCallsPerConnection) open.push_back(client.get());
  }
  const bool wants_another = open.empty() || fraction() < 0.05;
  if (wants_another && clients_.size() < kMaxClients && may_connect()) {
    clients_.push_back(connect());
    return clients_.back().get();
  }
  return open.empty() ? nullptr : open[random_() % open.size()];
}

CallRequest InvokerSlot::next_request() {
  CallRequest request;
  request.ref = net::hex16((static_cast<std::uint64_t>(index_ + 1) << 48) + ++calls_);
  const double skewed = std::pow(fraction(), 2);
  request.function = 1 + static_cast<std::uint64_t>(skewed * deployment_.functions);
  request.semantics = pick_semantics(fraction());
  request.class_name = class_name(request.semantics);
  const bool once = request.semantics == Semantics::once;
  const Millis longest = once ? deployment_.once_time_limit : deployment_.repeatable_time_limit;
  request.time_limit = longest * (0.5 + 0.5 * fraction());
  return request;
}

void InvokerSlot::call(bool is_retry, const CallRequest* request) {
  CallClient* const client = free_client();
  if (client == nullptr) return;
  client->call(request != nullptr ? *request : next_request(), is_retry);
}

void InvokerSlot::begin_traffic() {
  traffic_on_ = true;
  schedule_call();
}

void InvokerSlot::schedule_call() {
  const double mean_pause = 1000 / deployment_.calls_per_second;
  after(Millis(-std::log(1 - fraction()) * mean_pause), [this] {
    if (!traffic_on_) return;
    schedule_call();
    call();
    if (fraction() < 0.01 && !clients_.empty()) clients_.front()->cancel_oldest();
    if (fraction() < 0.002 && !clients_.empty()) clients_.front()->disconnect();
  });
}

void InvokerSlot::apply(const ClientFault& fault) {
  using Kind = ClientFault::Kind;
  if (!is_ready()) return;
  for (int i = 0; i < fault.count; ++i) {
    if (fault.kind == Kind::burst) call();
    if (fault.kind == Kind::cancels && !clients_.empty()) clients_.front()->cancel_oldest();
    const bool opens = fault.kind == Kind::idle_connections || fault.kind == Kind::malformed_input ||
                       fault.kind == Kind::split_requests;
    if (!opens) continue;
    fault_clients_.push_back(connect());
    if (fault.kind == Kind::split_requests) {
      fault_clients_.back()->send_first_half(next_request());
      after(kSplitDelay, [client = fault_clients_.back()] { client->send_second_half(); });
    }
    if (fault.kind == Kind::malformed_input)
      fault_clients_.back()->send_raw("*3\r\n$-1\r\nCALL 7 \x01\x02\r\n");
  }
  if (fault.kind == Kind::disconnects) {
    for (const auto& client : clients_) client->disconnect();
  }
}

}  // namespace pathstack::soak
