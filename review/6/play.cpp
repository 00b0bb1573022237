// Case 6: a label sends more than usual; are requests that the invoker has read ever left without an answer?
// Arguments: root of the repository, `run` of the deploy file, folder for files, record file.
#include "../support-2/rig.h"

using namespace rig;

namespace {

constexpr int kHosts = 8;
constexpr std::size_t kConnections = 24;  // of at most 85: a third of 256 descriptors
constexpr double kCallsPerSecond = 170;   // TERMS: up to 170 requests a second
constexpr double kBurstFactor = 5.5;      // BRIEF: one label sends 2.5 to 5.7 times its usual traffic
constexpr double kBurstMs = 18000;        // BRIEF: for 6.6 to 20 s
constexpr double kCalmMs = 8000, kAfterMs = 6000;
constexpr std::size_t kBodyBytes = 16 * 1024;  // PROTOCOL: bodies hold 16 KiB at most
constexpr double kCrossingMs = 50, kLateMs = 500;
constexpr int kFunctions = 12;
constexpr int kRetries = 2;        // BRIEF: clients retry by themselves up to 2 times
constexpr double kBackoffMs = 28;  // the shortest of the site file

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) cannot_run("arguments: ROOT RUN FOLDER RECORD");
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[4]);
  Loop loop;
  ChangeLog log(loop, record);
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Row> rows;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>(loop, record, "s-" + std::to_string(i), HostModel()));
    rows.push_back(
        {hosts.back()->id(), hosts.back()->address(), i % 2 == 0 ? "hall-a" : "hall-b", "ready", 0});
    Host* host = hosts.back().get();
    host->on_exec = [&record, host](const std::string& ref) {
      record.line("host %s: exec %s", host->id().c_str(), ref.c_str());
    };
    host->on_answer = [&record, host](const std::string& ref, const char* word) {
      record.line("host %s: %s %s", host->id().c_str(), word, ref.c_str());
    };
  }
  log.append(rows, true);
  Site site;
  Invoker invoker(argv[1], argv[2], argv[3], "n1");
  invoker.write_config(configuration(invoker, "n1", site, log.address(), log.known(), 36));
  invoker.start();
  Client client(loop, record, invoker.port(), kConnections);
  wait_ready(loop, record, invoker, client);

  std::mt19937_64 random(36);
  const std::string body(kBodyBytes, 'p');
  std::unordered_map<std::string, int> retries;  // by ref: how often its request was sent before
  const auto send_call = [&](const std::string& tenant, const std::string& function,
                             const std::string& class_name, int sent_before) {
    auto call = std::make_shared<Call>();
    call->ref = hex16(random());
    call->class_name = class_name;
    call->tenant = tenant;
    call->function = function;
    call->allow = class_name == "licence" ? 5000 : 4000;
    call->body = body;
    retries[call->ref] = sent_before;
    client.send(call);
  };
  client.on_answer = [&](const Call& call) {
    const int sent_before = retries[call.ref];
    if (call.word != "BUSY" || sent_before >= kRetries) return;
    loop.after(kBackoffMs, [&send_call, call, sent_before] {
      send_call(call.tenant, call.function, call.class_name, sent_before + 1);
    });
  };
  const char* names[3] = {"karoo-main", "veld-audio", "harbour-tracks"};
  const double shares[3] = {0.59, 0.23, 0.18};
  const double began = now_ms();
  const double burst_from = began + kCalmMs, burst_to = burst_from + kBurstMs, end = burst_to + kAfterMs;
  bool burst_logged = false;
  for (int label = 0; label < 3; ++label) {
    auto next = std::make_shared<std::function<void()>>();
    *next = [&, label, next] {
      const double now = now_ms();
      if (now >= end) return;
      const bool burst = trouble() && label == 0 && now >= burst_from && now < burst_to;
      if (burst && !std::exchange(burst_logged, true))
        record.line("burst: karoo-main sends %.1f times as much", kBurstFactor);
      const double rate = kCallsPerSecond * shares[label] * (burst ? kBurstFactor : 1);
      const std::string function = hex16(0x7f3a000000000000ULL + label * 16 + random() % (kFunctions / 3));
      send_call(names[label], function, random() % 100 < 63 ? "preview" : "licence", 0);
      const double gap = -std::log((static_cast<double>(random() % 1000000) + 1) / 1000001.0) * 1000 / rate;
      loop.after(gap, *next);
    };
    loop.after(1, *next);
  }
  long peak_kb = 0;
  std::function<void()> watch = [&] {
    peak_kb = std::max(peak_kb, invoker.resident_kb());
    loop.after(100, watch);
  };
  watch();
  loop.run_until(end + 5600, [&] { return !invoker.running(); });

  const bool crashed = !invoker.running();
  std::map<std::string, int> answers;
  int lost_closed = 0, lost_never = 0, late = 0, wrong = 0, resent = 0;
  double longest_wait = 0;
  for (const auto& call : client.calls) {
    if (call->resent) ++resent;
    if (call->cancelled) continue;
    if (!call->wrong.empty()) ++wrong;
    if (call->answered > 0) {
      ++answers[call->word];
      if (call->answered > call->sent + call->allow + kLateMs) ++late;
      continue;
    }
    if (call->connection_ended > 0) {
      if (call->connection_ended - call->sent <= kCrossingMs) continue;
      ++lost_closed;
      longest_wait = std::max(longest_wait, call->connection_ended - call->sent);
      record.line("verdict: %s sent at %.0f, connection ended %.0f ms later, no answer", call->ref.c_str(),
                  call->sent - began, call->connection_ended - call->sent);
    } else {
      ++lost_never;
      record.line("verdict: %s sent at %.0f, never answered", call->ref.c_str(), call->sent - began);
    }
  }
  invoker.signal(SIGUSR1);
  loop.run_until(now_ms() + 300);
  record.line("sent %zu, OK %d, BUSY %d, FAILED %d, sent again after a crossing %d, no free connection %zu",
              client.calls.size(), answers["OK"], answers["BUSY"], answers["FAILED"], resent, client.unsent);
  record.line(
      "lost: connection closed without an answer %d (longest %.0f ms after sending), never answered %d, "
      "later than 0.5 s after its time %d; wrong bodies %d, answers to no request %zu; crashed %d; "
      "largest resident memory %ld KB of %d MB",
      lost_closed, longest_wait, lost_never, late, wrong, client.stray_answers, crashed, peak_kb,
      site.memory_mb);
  std::printf(
      "sent %zu OK %d BUSY %d FAILED %d; lost %d+%d+%d; wrong %d; stray %zu; crashed %d; peak %ld KB\n",
      client.calls.size(), answers["OK"], answers["BUSY"], answers["FAILED"], lost_closed, lost_never, late,
      wrong, client.stray_answers, crashed, peak_kb);
  return lost_closed + lost_never + late > 0 ? 1 : 0;
}
