// Case 7: bad clients beside usual ones; are requests of the usual clients ever left without an answer?
// Arguments: root of the repository, `run` of the deploy file, folder for files, record file.
#include "../support-2/rig.h"

using namespace rig;

namespace {

constexpr int kHosts = 8;
constexpr std::size_t kConnections = 9;  // of usual clients; at most 85: a third of 256 descriptors
constexpr double kCallsPerSecond = 150;  // TERMS: up to 170 requests a second
constexpr int kBadProcesses = 4, kBadClients = 19;  // in each process: with the usual clients 85 connections
constexpr double kHalfRequestMs = 10;               // until a bad client closes
constexpr double kTroubleMs = 20000, kAfterMs = 4000;
constexpr double kCrossingMs = 50, kLateMs = 500;
constexpr int kFunctions = 60;

// A bad client: withdraws a request that was never made, sends half a request and closes; the same again the
// moment it is turned away.
class BadClient : public std::enable_shared_from_this<BadClient> {
 public:
  BadClient(Loop& loop, int port) : loop_(loop), port_(port) {}
  void run(double until) {
    if (now_ms() >= until) return;
    conn_ = connect_to(loop_, port_);
    const std::weak_ptr<BadClient> weak = shared_from_this();
    const auto again = [this, weak, until](double delay) {
      loop_.after(delay, [weak, until] {
        if (const auto self = weak.lock()) self->run(until);
      });
    };
    if (!conn_) return again(20);
    conn_->on_data = [](std::string& in) { in.clear(); };
    conn_->on_end = [again](bool) { again(0); };
    const std::weak_ptr<Conn> conn = conn_;
    loop_.after(kHalfRequestMs, [conn, again] {
      const auto open = conn.lock();
      if (!open || open->closed()) return;
      open->close();
      again(0);
    });
    const std::string half = resp_array({"CALL", "8", "preview", "ref=00112233445566", "x"});
    conn_->write(resp_array({"CANCEL", "7"}) + half.substr(0, half.size() / 2));
  }

 private:
  Loop& loop_;
  int port_;
  std::shared_ptr<Conn> conn_;
};

// A process of bad clients, which begin when they are told to.
class BadProcess {
 public:
  BadProcess(int port, int clients) {
    int ends[2];
    if (pipe(ends) != 0) cannot_run("no pipe");
    pid_ = fork();
    if (pid_ < 0) cannot_run("cannot fork");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::close(ends[1]);
      double length = 0;
      if (read(ends[0], &length, sizeof length) != sizeof length) _exit(0);
      Loop loop;
      std::vector<std::shared_ptr<BadClient>> bad;
      for (int i = 0; i < clients; ++i) {
        bad.push_back(std::make_shared<BadClient>(loop, port));
        bad.back()->run(now_ms() + length);
      }
      loop.run_until(now_ms() + length + kHalfRequestMs);
      _exit(0);
    }
    ::close(ends[0]);
    start_ = ends[1];
  }
  ~BadProcess() {
    ::close(start_);
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  void begin(double length) const {
    if (write(start_, &length, sizeof length) != sizeof length) cannot_run("a process of bad clients ended");
  }

 private:
  pid_t pid_ = -1;
  int start_ = -1;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) cannot_run("arguments: ROOT RUN FOLDER RECORD");
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[4]);
  Invoker invoker(argv[1], argv[2], argv[3], "n1");
  // Before anything is opened, as a child process would hold it open.
  std::vector<std::unique_ptr<BadProcess>> bad;
  for (int i = 0; i < kBadProcesses; ++i)
    bad.push_back(std::make_unique<BadProcess>(invoker.port(), kBadClients));
  Loop loop;
  ChangeLog log(loop, record);
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Row> rows;
  HostModel model;
  model.load_ms = 1900;  // BRIEF: loads average 0.87 to 1.9 s

  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>(loop, record, "s-" + std::to_string(i), model));
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
  site.memory_mb = 128;
  invoker.write_config(configuration(invoker, "n1", site, log.address(), log.known(), 36));
  invoker.start();
  Client client(loop, record, invoker.port(), kConnections);
  wait_ready(loop, record, invoker, client);

  std::mt19937_64 random(36);
  if (trouble()) {
    record.line("bad clients: %d begin", kBadProcesses * kBadClients);
    for (const auto& process : bad) process->begin(kTroubleMs);
    loop.run_until(now_ms() + 300);
  }
  const double began = now_ms();
  const double end = began + kTroubleMs + kAfterMs;
  std::function<void()> next = [&] {
    if (now_ms() >= end) return;
    auto call = std::make_shared<Call>();
    call->ref = hex16(random());
    call->class_name = random() % 100 < 63 ? "preview" : "licence";
    call->tenant = "karoo-main";
    call->function = hex16(0x7f3a000000000000ULL + random() % kFunctions);
    call->allow = call->class_name == "licence" ? 5000 : 4000;
    call->body = "render";
    client.send(call);
    const double gap =
        -std::log((static_cast<double>(random() % 1000000) + 1) / 1000001.0) * 1000 / kCallsPerSecond;
    loop.after(gap, next);
  };
  loop.after(1, next);
  loop.run_until(end + 5600, [&] { return !invoker.running(); });

  const bool crashed = !invoker.running();
  std::map<std::string, int> answers;
  int lost_closed = 0, lost_never = 0, late = 0, wrong = 0, resent = 0;
  double longest = 0;
  for (const auto& call : client.calls) {
    if (call->resent) ++resent;
    if (call->cancelled) continue;
    if (!call->wrong.empty()) ++wrong;
    if (call->answered > 0) {
      ++answers[call->word];
      if (call->answered > call->sent + call->allow + kLateMs) ++late;
    } else if (call->connection_ended > 0) {
      if (call->connection_ended - call->sent <= kCrossingMs) continue;
      ++lost_closed;
      longest = std::max(longest, call->connection_ended - call->sent);
      record.line("verdict: %s sent at %.0f, connection ended %.0f ms later, no answer", call->ref.c_str(),
                  call->sent - began, call->connection_ended - call->sent);
    } else {
      ++lost_never;
      record.line("verdict: %s sent at %.0f, never answered", call->ref.c_str(), call->sent - began);
    }
  }
  invoker.signal(SIGUSR1);
  loop.run_until(now_ms() + 300);
  const auto summary = [&](FILE* out) {
    std::fprintf(
        out,
        "sent %zu, OK %d, BUSY %d, FAILED %d, sent again after a crossing %d, no free connection %zu; "
        "lost: connection closed without an "
        "answer %d (longest %.0f ms after sending), never answered %d, late %d; wrong bodies %d, "
        "answers to no request %zu; crashed %d\n",
        client.calls.size(), answers["OK"], answers["BUSY"], answers["FAILED"], resent, client.unsent,
        lost_closed, longest, lost_never, late, wrong, client.stray_answers, crashed);
  };
  summary(stdout);
  record.line("%s", "the end");
  record.tail(summary);
  return lost_closed + lost_never + late > 0 ? 1 : 0;
}
