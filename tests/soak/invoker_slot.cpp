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

constexpr Millis kWatchInterval{10};
constexpr Millis kSampleInterval{500};
constexpr Millis kNewConnectionsAfterTerm{300};
constexpr Millis kKillMargin{700};        // SIGKILL comes so long after the longest deadline
constexpr Millis kLongestDeadline{3000};  // of which so much counts
constexpr Millis kDownTime{300};          // between two processes
constexpr Millis kPause{40};              // between the pieces of a call
constexpr std::size_t kCallsAConnection = 32;
constexpr std::size_t kMostClients = 6;

// `fraction` is at least 0, below 1.
Semantics draw_semantics(double fraction) {
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
  watch();
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
  InvokerLife life;
  life.invoker = index_;
  life.started = clock_();
  record_.lives.push_back(life);
  life_ = record_.lives.size() - 1;
}

bool InvokerSlot::is_ready() const { return process_ != nullptr && record_.lives[life_].ready.has_value(); }

void InvokerSlot::watch() {
  after(kWatchInterval, [this] { watch(); });
  if (process_ == nullptr) return;
  if (process_->has_ended()) return process_ended();
  if (!life().ready) look_for_ready();
}

void InvokerSlot::look_for_address() {
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

void InvokerSlot::look_for_ready() {
  const bool knows_port = address_.substr(address_.rfind(':')) != ":0";
  if (!knows_port) return look_for_address();
  if (checker_ && checker_->is_up()) {
    life().ready = clock_();
    checker_->leave();
    checker_.reset();
    return;
  }
  if (checker_ && !checker_->closed()) return;
  checker_ = connect();
  checker_->check();
}

void InvokerSlot::sample_resources() {
  after(kSampleInterval, [this] { sample_resources(); });
  if (process_ == nullptr || process_->has_ended()) return;
  record_.samples.push_back({index_, clock_(), process_->peak_memory_mb(), process_->descriptors()});
}

void InvokerSlot::process_ended() {
  life().ended = clock_();
  life().exit_status = process_->exit_status();
  process_.reset();
  checker_.reset();
  after(kDownTime, [this] {
    if (process_ == nullptr) start();
  });
}

void InvokerSlot::terminate() {
  if (process_ == nullptr || life().terminated) return;
  life().terminated = clock_();
  process_->send_signal(SIGTERM);
  const Millis longest = std::max(deployment_.allowed_repeatable, deployment_.allowed_once);
  const std::size_t terminated_life = life_;
  after(std::min(longest, kLongestDeadline) + kKillMargin, [this, terminated_life] {
    if (process_ != nullptr && life_ == terminated_life) kill_now();
  });
}

void InvokerSlot::kill_now() {
  if (process_ == nullptr || process_->has_ended()) return;
  life().killed = clock_();
  process_->send_signal(SIGKILL);
}

void InvokerSlot::apply(const SignalFault& fault) {
  using What = SignalFault::What;
  // The page sends SIGHUP never before an invoker is ready, nor within its first second.
  const bool settled = is_ready() && clock_() > life().started + Millis(1000);
  if (!settled || life().terminated) return;
  if (fault.what == What::kill) return kill_now();
  if (fault.what == What::move) {
    fleet_.move_log(index_, fault.new_log_late, fault.new_log_mute);
    write_config();
  }
  if (fault.what == What::reload) write_config();
  const bool sends_hup = fault.what != What::counters && fault.what != What::restart;
  for (int i = 0; i < fault.times; ++i) {
    if (fault.what == What::counters) process_->send_signal(SIGUSR1);
    if (sends_hup) process_->send_signal(SIGHUP);
  }
  if (fault.what != What::restart && fault.what != What::restart_reload) return;
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

// New connections go to a process that runs, and for a while to one that is ending.
bool InvokerSlot::may_connect() {
  if (!is_ready()) return false;
  return !life().terminated || clock_() < *life().terminated + kNewConnectionsAfterTerm;
}

// Connections that have closed are kept to the end of the turn, as a call may come from inside one.
CallClient* InvokerSlot::free_client() {
  for (auto i = clients_.begin(); i != clients_.end();) {
    const bool closed = (*i)->closed();
    if (closed) loop_.defer_destruction(*i);
    i = closed ? clients_.erase(i) : std::next(i);
  }
  std::vector<CallClient*> open;
  for (const auto& client : clients_) {
    if (!client->ending() && client->open_calls() < kCallsAConnection) open.push_back(client.get());
  }
  const bool wants_another = open.empty() || fraction() < 0.05;
  if (wants_another && clients_.size() < kMostClients && may_connect()) {
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
  request.semantics = draw_semantics(fraction());
  request.class_name = class_name(request.semantics);
  const bool once = request.semantics == Semantics::once;
  const Millis longest = once ? deployment_.allowed_once : deployment_.allowed_repeatable;
  request.allowed = longest * (0.5 + 0.5 * fraction());
  return request;
}

void InvokerSlot::call(bool again, const CallRequest* request) {
  CallClient* const client = free_client();
  if (client == nullptr) return;
  client->call(request != nullptr ? *request : next_request(), again);
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
    if (fraction() < 0.002 && !clients_.empty()) clients_.front()->leave();
  });
}

void InvokerSlot::apply(const ClientFault& fault) {
  using What = ClientFault::What;
  if (!is_ready()) return;
  for (int i = 0; i < fault.count; ++i) {
    if (fault.what == What::burst) call();
    if (fault.what == What::cancels && !clients_.empty()) clients_.front()->cancel_oldest();
    const bool opens =
        fault.what == What::crowd || fault.what == What::bad_bytes || fault.what == What::pieces;
    if (!opens) continue;
    crowd_.push_back(connect());
    if (fault.what == What::pieces) {
      crowd_.back()->begin_call(next_request());
      after(kPause, [client = crowd_.back()] { client->send_rest(); });
    }
    if (fault.what == What::bad_bytes) crowd_.back()->send_raw("*3\r\n$-1\r\nCALL 7 \x01\x02\r\n");
  }
  if (fault.what == What::leaves) {
    for (const auto& client : clients_) client->leave();
  }
}

}  // namespace pathstack::soak
