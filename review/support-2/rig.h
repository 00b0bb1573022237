// Stand-ins for clients, hosts and the change log, and a runner of invoker processes, for the cases 6 to 10.
// One thread around poll(2). Loopback addresses only. Written from PROTOCOL, TERMS, DEPLOY and STANDING.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rig {

inline double now_ms() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_nsec) / 1e6;
}
inline long long unix_ms() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return static_cast<long long>(t.tv_sec) * 1000 + t.tv_nsec / 1000000;
}

[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "the case cannot run: %s\n", why.c_str());
  std::exit(2);
}

// The record of what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), began_(now_ms()) {
    if (file_ == nullptr) cannot_run("cannot write " + path);
  }
  ~Record() { std::fclose(file_); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::fprintf(file_, "%10.1f ", now_ms() - began_);
    va_list list;
    va_start(list, format);
    std::vfprintf(file_, format, list);
    va_end(list);
    std::fputc('\n', file_);
  }
  template <typename Write>
  void tail(const Write& write) {
    write(file_);
  }
  double since_start() const { return now_ms() - began_; }

 private:
  FILE* file_;
  double began_;
};

class Loop {
 public:
  void watch(int fd, std::function<short()> wants, std::function<void(short)> ready) {
    watched_[fd] = {std::move(wants), std::move(ready), ++serial_};
  }
  void unwatch(int fd) { watched_.erase(fd); }
  void at(double when, std::function<void()> what) { timers_.emplace(when, std::move(what)); }
  void after(double ms, std::function<void()> what) { at(now_ms() + ms, std::move(what)); }
  // Runs until `end` or until `done` returns true.
  void run_until(
      double end, const std::function<bool()>& done = [] { return false; }) {
    while (now_ms() < end && !done()) turn(end);
  }

 private:
  struct Watched {
    std::function<short()> wants;
    std::function<void(short)> ready;
    std::uint64_t serial;
  };
  std::map<int, Watched> watched_;
  std::multimap<double, std::function<void()>> timers_;
  std::uint64_t serial_ = 0;

  void turn(double end) {
    std::vector<pollfd> polled;
    std::vector<std::uint64_t> serials;
    for (auto& [fd, w] : watched_) {
      polled.push_back({fd, w.wants(), 0});
      serials.push_back(w.serial);
    }
    double until = end;
    if (!timers_.empty()) until = std::min(until, timers_.begin()->first);
    const int wait = static_cast<int>(std::min(50.0, std::max(0.0, std::floor(until - now_ms()))));
    poll(polled.data(), polled.size(), wait);
    for (std::size_t i = 0; i < polled.size(); ++i) {
      if (polled[i].revents == 0) continue;
      const auto found = watched_.find(polled[i].fd);
      if (found == watched_.end() || found->second.serial != serials[i]) continue;
      const auto ready = found->second.ready;
      ready(polled[i].revents);
    }
    while (!timers_.empty() && timers_.begin()->first <= now_ms()) {
      const auto what = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      what();
    }
  }
};

inline void set_nonblocking(int fd) { fcntl(fd, F_SETFL, fcntl(fd, F_GETFL, 0) | O_NONBLOCK); }

// A TCP connection. `on_data` gets the whole input buffer and removes what it has used.
class Conn : public std::enable_shared_from_this<Conn> {
 public:
  Conn(Loop& loop, int fd, bool connecting) : loop_(loop), fd_(fd), connecting_(connecting) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Conn() { close(); }
  std::function<void(std::string& input)> on_data;
  std::function<void(bool reset)> on_end;
  std::function<void()> on_up;
  // How long the end by the peer waits for a reset that follows it. A reset shows that the peer had not read
  // all that was sent to it.
  double wait_for_reset_ms = 0;

  void start() {
    std::weak_ptr<Conn> weak = shared_from_this();
    loop_.watch(
        fd_,
        [weak]() -> short {
          const auto self = weak.lock();
          if (!self) return 0;
          const bool writes = self->connecting_ || !self->out_.empty();
          return static_cast<short>((self->paused_ ? 0 : POLLIN) | (writes ? POLLOUT : 0));
        },
        [weak](short events) {
          const auto self = weak.lock();
          if (self) self->ready(events);
        });
  }
  bool was_up() const { return was_up_; }
  bool up() const { return fd_ >= 0 && !connecting_; }
  bool closed() const { return fd_ < 0; }
  void pause(bool paused) { paused_ = paused; }
  void write(const std::string& bytes) {
    if (fd_ < 0) return;
    out_ += bytes;
    if (!connecting_) flush();
  }
  bool all_written() const { return out_.empty(); }
  void close() {
    if (fd_ < 0) return;
    loop_.unwatch(fd_);
    ::close(fd_);
    fd_ = -1;
  }
  void reset() {
    if (fd_ < 0) return;
    const linger l{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &l, sizeof l);
    close();
  }

 private:
  Loop& loop_;
  int fd_;
  bool connecting_, paused_ = false, was_up_ = false;
  std::string in_, out_;

  void flush() {
    while (!out_.empty()) {
      const ssize_t sent = send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
      if (sent < 0) return;  // a broken connection is noticed when it is read
      out_.erase(0, static_cast<std::size_t>(sent));
    }
  }
  void end(bool reset) {
    const auto self = shared_from_this();
    if (!reset && wait_for_reset_ms > 0) {
      loop_.unwatch(fd_);
      return loop_.after(std::exchange(wait_for_reset_ms, 0), [self] {
        int error = 0;
        socklen_t size = sizeof error;
        if (self->fd_ < 0) return;
        getsockopt(self->fd_, SOL_SOCKET, SO_ERROR, &error, &size);
        self->end(error != 0);
      });
    }
    close();
    if (on_end) on_end(reset);
  }
  void ready(short events) {
    const auto self = shared_from_this();
    if (connecting_) {
      int error = 0;
      socklen_t size = sizeof error;
      getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return end(true);
      if ((events & POLLOUT) == 0) return;
      connecting_ = false;
      was_up_ = true;
      if (on_up) on_up();
      flush();
      return;
    }
    if ((events & POLLOUT) != 0) flush();
    if (paused_ || (events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
    char block[65536];
    for (int i = 0; i < 8 && fd_ >= 0; ++i) {
      const ssize_t got = recv(fd_, block, sizeof block, 0);
      if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
      if (got <= 0) return end(got < 0);
      in_.append(block, static_cast<std::size_t>(got));
      if (on_data) on_data(in_);
      if (static_cast<std::size_t>(got) < sizeof block) return;
    }
  }
};

class Listener {
 public:
  Listener(Loop& loop, std::function<void(std::shared_ptr<Conn>)> accepted, int port = 0)
      : loop_(loop), accepted_(std::move(accepted)) {
    open(port);
  }
  ~Listener() { close(); }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void close() {
    if (fd_ < 0) return;
    loop_.unwatch(fd_);
    ::close(fd_);
    fd_ = -1;
  }
  void reopen() {
    if (fd_ < 0) open(port_);
  }

 private:
  Loop& loop_;
  std::function<void(std::shared_ptr<Conn>)> accepted_;
  int fd_ = -1, port_ = 0;

  void open(int port) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || listen(fd_, 512) != 0) {
      cannot_run("cannot listen on a loopback port");
    }
    socklen_t size = sizeof a;
    getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &size);
    port_ = ntohs(a.sin_port);
    loop_.watch(
        fd_, [] { return static_cast<short>(POLLIN); },
        [this](short) {
          while (fd_ >= 0) {
            const int got = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (got < 0) return;
            auto conn = std::make_shared<Conn>(loop_, got, false);
            conn->start();
            accepted_(conn);
          }
        });
  }
};

// A free port: bound once and released.
inline int free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof a;
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), size) != 0) cannot_run("no free port");
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  ::close(fd);
  return ntohs(a.sin_port);
}

inline std::shared_ptr<Conn> connect_to(Loop& loop, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int result = connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a);
  if (result != 0 && errno != EINPROGRESS) {
    ::close(fd);
    return nullptr;
  }
  auto conn = std::make_shared<Conn>(loop, fd, true);
  conn->start();
  return conn;
}

// ---------------------------------------------------------------------------------------------------------
// The change log.

struct Row {
  std::string id, address, zone, phase;
  long long up_since = 0;
};

class ChangeLog {
 public:
  ChangeLog(Loop& loop, Record& record)
      : loop_(loop), record_(record), listener_(loop, [this](std::shared_ptr<Conn> c) { accepted(c); }) {
    heartbeat();
  }
  std::string address() const { return listener_.address(); }
  void append(const std::vector<Row>& rows, bool complete = false) {
    events_.push_back(event(events_.size() + 1, rows, complete));
    for (const Row& row : rows) {
      record_.line("log: event %zu host %s %s", events_.size(), row.id.c_str(), row.phase.c_str());
    }
    for (const auto& conn : subscribed_) conn->write(events_.back() + "\n");
  }
  std::string known() const {
    std::string all;
    for (const auto& e : events_) all += (all.empty() ? "" : ",") + e;
    return "{\"seq\":" + std::to_string(events_.size()) + ",\"results\":[" + all + "]}";
  }

 private:
  Loop& loop_;
  Record& record_;
  std::vector<std::string> events_;
  std::set<std::shared_ptr<Conn>> open_, subscribed_;
  Listener listener_;

  static std::string event(std::size_t seq, const std::vector<Row>& rows, bool complete) {
    std::string members;
    for (const Row& r : rows) {
      members += (members.empty() ? "" : ",") + std::string("{\"id\":\"") + r.id + "\",\"host_port\":\"" +
                 r.address + "\",\"locality\":\"" + r.zone +
                 "\",\"flavor\":\"std-3core\",\"cell\":0,\"phase\":\"" + r.phase +
                 "\",\"size\":1,\"up_since_ms\":" + std::to_string(r.up_since) + "}";
    }
    return "{\"seq\":" + std::to_string(seq) + ",\"fleet\":{\"revision\":" + std::to_string(seq) +
           ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[" + members + "]}}";
  }
  void accepted(const std::shared_ptr<Conn>& conn) {
    open_.insert(conn);
    std::weak_ptr<Conn> weak = conn;
    conn->on_data = [this, weak](std::string& in) {
      const auto self = weak.lock();
      const auto end = in.find('\n');
      if (!self || end == std::string::npos) return;
      const std::size_t since = std::strtoull(in.c_str() + in.find(' '), nullptr, 10);
      in.clear();
      for (std::size_t i = since; i < events_.size(); ++i) self->write(events_[i] + "\n");
      subscribed_.insert(self);
    };
    conn->on_end = [this, weak](bool) {
      const auto self = weak.lock();
      subscribed_.erase(self);
      open_.erase(self);
    };
  }
  void heartbeat() {
    for (const auto& conn : subscribed_) conn->write(std::to_string(events_.size()) + "\n");
    loop_.after(1000, [this] { heartbeat(); });
  }
};

// ---------------------------------------------------------------------------------------------------------
// A host: cores, a bounded queue, and functions that have to be loaded.

struct HostModel {
  int cores = 3;
  double work_ms = 110;    // of a call on a core
  std::size_t queue = 24;  // further calls are answered `full`
  double load_ms = 1300;   // of a function that is not loaded
  double cold_from = 1;    // share of the capacity right after a start
  double cold_ms = 0;      // until it has its whole capacity; grows evenly
};

class Host {
 public:
  struct Exec {
    double at;
    std::string ref;
    std::shared_ptr<Conn> conn;
    std::string function;
  };
  Host(Loop& loop, Record& record, std::string id, HostModel model)
      : loop_(loop),
        record_(record),
        id_(std::move(id)),
        model_(model),
        listener_(loop, [this](std::shared_ptr<Conn> c) { accepted(c); }) {}
  const std::string& id() const { return id_; }
  std::string address() const { return listener_.address(); }
  HostModel& model() { return model_; }
  // Called with each call that has come whole.
  std::function<void(const std::string& ref)> on_exec;
  // Called when a call ends: answered with the word.
  std::function<void(const std::string& ref, const char* word)> on_answer;
  std::size_t queued() const { return queue_.size(); }
  void set_cold(bool cold) { started_ = cold ? now_ms() : 0; }
  void preload(const std::string& function) { loaded_.insert(function); }
  // Share of its capacity that the host has now.
  double capacity() const {
    if (started_ == 0 || model_.cold_ms <= 0) return 1;
    const double age = (now_ms() - started_) / model_.cold_ms;
    return model_.cold_from + (1 - model_.cold_from) * std::min(1.0, age);
  }
  // The process ends: all connections are reset, and new ones refused.
  void die() {
    listener_.close();
    for (const auto& conn : std::set<std::shared_ptr<Conn>>(open_)) conn->reset();
    open_.clear();
    queue_.clear();
    running_ = 0;
    loaded_.clear();
    loading_.clear();
    ++generation_;
  }
  void start(const std::string& id) {
    id_ = id;
    started_ = now_ms();
    draining_ = false;
    listener_.reopen();
  }
  void drain() { draining_ = true; }

 private:
  Loop& loop_;
  Record& record_;
  std::string id_;
  HostModel model_;
  double started_ = 0;
  bool draining_ = false;
  int generation_ = 0;
  int running_ = 0;
  double busy_ = 0, busy_at_ = 0;  // decaying share of busy cores
  std::deque<Exec> queue_;
  std::set<std::string> loaded_;
  std::map<std::string, double> loading_;  // until when
  std::set<std::shared_ptr<Conn>> open_;
  std::map<std::pair<Conn*, std::string>, bool> dropped_;
  Listener listener_;

  void accepted(const std::shared_ptr<Conn>& conn) {
    open_.insert(conn);
    std::weak_ptr<Conn> weak = conn;
    conn->on_data = [this, weak](std::string& in) {
      if (const auto self = weak.lock()) parse(self, in);
    };
    conn->on_end = [this, weak](bool) {
      const auto self = weak.lock();
      for (auto i = queue_.begin(); i != queue_.end();) i = i->conn == self ? queue_.erase(i) : std::next(i);
      open_.erase(self);
    };
  }
  void parse(const std::shared_ptr<Conn>& conn, std::string& in) {
    std::size_t used = 0;
    while (true) {
      const auto end = in.find("\r\n", used);
      if (end == std::string::npos) break;
      const std::string line = in.substr(used, end - used);
      std::vector<std::string> words(1);
      for (const char c : line) {
        if (c == ' ')
          words.emplace_back();
        else
          words.back() += c;
      }
      if (words[0] == "exec" && words.size() == 4) {
        const std::size_t length = std::strtoull(words[3].c_str(), nullptr, 10);
        if (in.size() < end + 2 + length + 2) break;
        used = end + 2 + length + 2;
        exec(conn, words[1], words[2]);
        continue;
      }
      used = end + 2;
      handle(conn, words);
    }
    in.erase(0, used);
  }
  static std::string field(const std::string& fields, const std::string& name) {
    std::size_t at = 0;
    while (at < fields.size()) {
      const std::size_t end = std::min(fields.find(',', at), fields.size());
      if (fields.compare(at, name.size() + 1, name + "=") == 0) {
        return fields.substr(at + name.size() + 1, end - at - name.size() - 1);
      }
      at = end + 1;
    }
    return {};
  }
  void handle(const std::shared_ptr<Conn>& conn, const std::vector<std::string>& words) {
    if (words[0] == "health" || words[0] == "load") {
      char report[120];
      std::snprintf(report, sizeof report, "l=util:%.2f;queue:%zu;x0:0.2;x1:%zu", utilisation(),
                    queue_.size(), loading_.size());
      const std::string fields = words[0] == "load" ? report : "-";
      conn->write(words[1] + (draining_ ? " ill " : " well ") + fields + "\r\n");
    } else if (words[0] == "drop") {
      for (auto i = queue_.begin(); i != queue_.end(); ++i) {
        if (i->conn == conn && i->ref == words[1]) {
          queue_.erase(i);
          return;
        }
      }
      dropped_[{conn.get(), words[1]}] = true;
    } else if (words[0] == "ensure" && words.size() >= 3) {
      const std::string function = field(words[2], "asset");
      const int count = std::atoi(field(words[2], "count").c_str());
      if (count > 0 && draining_) {
        conn->write(words[1] + " full count=0\r\n");
        return;
      }
      const double wait = count > 0 ? begin_load(function) : 0;
      const int generation = generation_;
      std::weak_ptr<Conn> weak = conn;
      loop_.after(wait, [this, weak, tag = words[1], function, generation] {
        const auto self = weak.lock();
        if (!self || generation != generation_) return;
        self->write(tag + " data count=" + (loaded_.count(function) != 0 ? "1" : "0") + "\r\n");
      });
    }
  }
  // Returns how long it still takes until the function is loaded.
  double begin_load(const std::string& function) {
    if (loaded_.count(function) != 0) return 0;
    const auto found = loading_.find(function);
    if (found != loading_.end()) return std::max(0.0, found->second - now_ms());
    loading_[function] = now_ms() + model_.load_ms;
    const int generation = generation_;
    loop_.after(model_.load_ms, [this, function, generation] {
      if (generation != generation_) return;
      loading_.erase(function);
      loaded_.insert(function);
    });
    return model_.load_ms;
  }
  void exec(const std::shared_ptr<Conn>& conn, const std::string& ref, const std::string& fields) {
    if (on_exec) on_exec(ref);
    if (draining_ || queue_.size() >= model_.queue) return answer(conn, ref, "full");
    const std::string function = field(fields, "asset");
    const double wait = begin_load(function);
    const Exec call{now_ms(), ref, conn, function};
    if (wait <= 0) {
      queue_.push_back(call);
      return run_next();
    }
    const int generation = generation_;
    loop_.after(wait + 0.5, [this, call, generation] {
      if (generation != generation_ || call.conn->closed()) return;
      if (dropped_.erase({call.conn.get(), call.ref}) != 0) return;
      queue_.push_back(call);
      run_next();
    });
  }
  double utilisation() {
    const double now = now_ms();
    const double decay = std::exp(-(now - busy_at_) / 400);
    const double present = std::min(1.0, static_cast<double>(running_) / model_.cores);
    busy_ = busy_ * decay + present * (1 - decay);
    busy_at_ = now;
    return busy_;
  }
  void run_next() {
    while (running_ < model_.cores && !queue_.empty()) {
      const Exec call = queue_.front();
      queue_.pop_front();
      utilisation();
      ++running_;
      const int generation = generation_;
      loop_.after(model_.work_ms / capacity(), [this, call, generation] {
        if (generation != generation_) return;
        utilisation();
        --running_;
        const bool dropped = dropped_.erase({call.conn.get(), call.ref}) != 0;
        if (!call.conn->closed() && !dropped) answer(call.conn, call.ref, "data");
        run_next();
      });
    }
  }
  void answer(const std::shared_ptr<Conn>& conn, const std::string& ref, const char* word) {
    const std::string body = std::strcmp(word, "data") == 0 ? "answer-to-" + ref : "";
    if (on_answer) on_answer(ref, word);
    conn->write(ref + " " + word + " - " + std::to_string(body.size()) + "\r\n" + body + "\r\n");
  }
};

// ---------------------------------------------------------------------------------------------------------
// The invoker process.

class Invoker {
 public:
  Invoker(std::string root, std::string run, std::string folder, std::string name)
      : root_(std::move(root)), run_(std::move(run)), folder_(std::move(folder)), name_(std::move(name)) {
    port_ = free_port();
  }
  ~Invoker() { kill_now(); }
  int port() const { return port_; }
  std::string listen() const { return "127.0.0.1:" + std::to_string(port_); }
  std::string config_path() const { return folder_ + "/" + name_ + ".json"; }
  void write_config(const std::string& json) {
    const std::string next = config_path() + ".next";
    FILE* f = std::fopen(next.c_str(), "w");
    if (f == nullptr) cannot_run("cannot write the configuration");
    std::fwrite(json.data(), 1, json.size(), f);
    std::fclose(f);
    std::rename(next.c_str(), config_path().c_str());
  }
  void start() {
    const std::string log = folder_ + "/" + name_ + ".log";
    const std::string tmp = folder_ + "/" + name_ + ".tmp";
    mkdir(tmp.c_str(), 0700);
    pid_ = fork();
    if (pid_ < 0) cannot_run("cannot fork");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // also when this process is killed by its time limit
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      if (chdir(root_.c_str()) != 0) _exit(127);
      setenv("BALANCER_NAME", name_.c_str(), 1);
      setenv("BALANCER_LISTEN", listen().c_str(), 1);
      setenv("BALANCER_CONFIG", config_path().c_str(), 1);
      setenv("TMPDIR", tmp.c_str(), 1);
      execl("/bin/sh", "sh", "-c", run_.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  // True while the process runs.
  bool running() {
    if (pid_ <= 0) return false;
    const pid_t ended = waitpid(pid_, &status_, WNOHANG);
    if (ended == pid_) pid_ = -1;
    return pid_ > 0;
  }
  int status() const { return status_; }
  pid_t pid() const { return pid_; }
  void kill_now() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  // Resident memory without shared library pages that come from files, in KB.
  long anonymous_kb() const { return status_value("RssAnon:"); }
  long resident_kb() const { return status_value("VmRSS:"); }

 private:
  std::string root_, run_, folder_, name_;
  int port_ = 0, status_ = 0;
  pid_t pid_ = -1;

  long status_value(const char* key) const {
    if (pid_ <= 0) return 0;
    FILE* f = std::fopen(("/proc/" + std::to_string(pid_) + "/status").c_str(), "r");
    if (f == nullptr) return 0;
    char line[256];
    long value = 0;
    while (std::fgets(line, sizeof line, f) != nullptr) {
      if (std::strncmp(line, key, std::strlen(key)) == 0) value = std::atol(line + std::strlen(key));
    }
    std::fclose(f);
    return value;
  }
};

struct Site {
  int invokers = 3, rank = 0;
  int memory_mb = 32, sockets = 256;
  bool probes = true;
  double drain_grace = 250;
  double fall_multiple = 4, cold_ms = 17000, cold_from = 0.31, tip_after = 1000;
  double preview_limit = 4000, licence_limit = 5000;
};

// Settings of joburg-render, as in the example of WIRE.
inline std::string configuration(const Invoker& invoker, const std::string& name, const Site& s,
                                 const std::string& changelog, const std::string& known, unsigned seed) {
  char text[6000];
  std::snprintf(
      text, sizeof text,
      "{\"name\":\"%s\",\"listen\":\"%s\",\"seed\":\"%016x\","
      "\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":%d},\"changelog\":\"%s\",\"known\":%s,"
      "\"settings\":{\"Az\":\"hall-a\",\"Balancers\":%d,\"Rank\":%d,"
      "\"Bounds\":{\"Cancel\":true,\"ConnIdle\":30000.0,\"ConnectTimeout\":250.0,\"CpuUsPerRequest\":0.0,"
      "\"CpuUsPerS\":83535,\"MaxOpen\":20883,\"MaxRetryAfter\":500.0,\"PeerMessages\":false,\"Probes\":%s,"
      "\"RetryAfter\":false,\"SecondCopies\":false,\"SendCap\":5,\"StreamsPerConn\":100},"
      "\"Classes\":[{\"Aim\":500.0,\"Gain\":3.0,\"HardLimit\":%.1f,\"KeyScope\":\"all\",\"KeyTtl\":5000.0,"
      "\"LateValue\":0.2,\"Name\":\"preview\",\"Semantics\":\"repeatable\",\"Stream\":false},"
      "{\"Aim\":400.0,\"Gain\":9.0,\"HardLimit\":%.1f,\"KeyScope\":\"all\",\"KeyTtl\":5000.0,"
      "\"LateValue\":0.2,\"Name\":\"licence\",\"Semantics\":\"once\",\"Stream\":false}],"
      "\"Clients\":{\"MarksRetry\":false},\"Dcs\":[\"hall-a\",\"hall-b\"],"
      "\"FamilyInfo\":{\"LingerIdle\":8100.0,\"LoadFloor\":3.0,\"LoadRatio\":0.15,\"LoadWindow\":5000.0,"
      "\"MemoryMbByKind\":[62784.0],\"NotesPeersInHand\":true,\"OnMiss\":\"load\",\"OrderTimeout\":10000.0,"
      "\"Orders\":true,\"PriceOfIdle\":0.0,\"TellsWarm\":false},\"KindOfService\":\"warm\","
      "\"Kinds\":[\"std-3core\"],"
      "\"LoadInfo\":{\"Fields\":[\"util\",\"queue\",\"x0\",\"x1\"],\"How\":\"pull\"},"
      "\"ObjectiveMix\":{\"Whole\":0.55,\"WorstClass\":0.2,\"WorstTenant\":0.1,\"WorstWindow\":0.15},"
      "\"OverShareWorth\":0.2,\"Prices\":{\"CrossZone\":0.04,\"LateFail\":0.03,\"Origin\":0.049,"
      "\"Probe\":0.013,\"Waste\":0.028},\"RegistryMode\":\"push\","
      "\"Rules\":{\"Cold\":%.1f,\"ColdFrom\":%.2f,\"DrainGrace\":%.1f,\"FallMultiple\":%.1f,"
      "\"GraceToAnswer\":8.0,\"MustAskIn\":10000.0,\"TipAfter\":%.1f},"
      "\"Stages\":[\"render-fleet\"],\"Tenants\":[{\"Name\":\"karoo-main\",\"QuotaPerS\":93.0,\"Share\":0.59}"
      ","
      "{\"Name\":\"veld-audio\",\"QuotaPerS\":36.0,\"Share\":0.23},"
      "{\"Name\":\"harbour-tracks\",\"QuotaPerS\":28.0,\"Share\":0.18}],\"Tick\":2.0,\"Tier\":0,"
      "\"Weights\":\"silent\",\"WorthBy\":\"request\"}}",
      name.c_str(), invoker.listen().c_str(), seed, s.memory_mb, s.sockets, changelog.c_str(), "@KNOWN@",
      s.invokers, s.rank, s.probes ? "true" : "false", s.preview_limit, s.licence_limit, s.cold_ms,
      s.cold_from, s.drain_grace, s.fall_multiple, s.tip_after);
  std::string out = text;
  const auto at = out.find("@KNOWN@");
  out.replace(at, 7, known);
  return out;
}

// ---------------------------------------------------------------------------------------------------------
// Clients.

struct Call {
  std::string ref, class_name, tenant, function, body;
  double allow = 4000;
  double sent = 0;      // last byte written
  double answered = 0;  // 0: not yet
  std::string word;     // of the answer
  double connection_ended = 0;
  bool reset = false;   // the connection ended with a reset
  bool resent = false;  // sent again after a crossing with a close
  bool cancelled = false;
  int answers = 0;
  std::string wrong;  // what was wrong with the answer
};

inline std::string resp_array(const std::vector<std::string>& words) {
  std::string out = "*" + std::to_string(words.size()) + "\r\n";
  for (const auto& w : words) out += "$" + std::to_string(w.size()) + "\r\n" + w + "\r\n";
  return out;
}

// A client process: some connections with up to 32 open requests each.
class Client {
 public:
  static constexpr std::size_t kMaxOpen = 32;
  Client(Loop& loop, Record& record, int port, std::size_t connections)
      : loop_(loop), record_(record), port_(port), slots_(connections) {}
  std::function<void(const Call&)> on_answer;  // also called when a call ends without one
  std::vector<std::shared_ptr<Call>> calls;    // all that were sent
  double wait_for_reset_ms = 0;                // see Conn
  std::size_t unsent = 0;                      // calls for which no connection was free or up

  // Sends a call on the next connection that carries fewer than 32 open requests.
  void send(const std::shared_ptr<Call>& call) {
    for (std::size_t i = 0; i < slots_.size(); ++i) {
      Slot& slot = slots_[next_++ % slots_.size()];
      if (!slot.conn || slot.conn->closed()) open(slot);
      if (!slot.conn || slot.open.size() >= kMaxOpen) continue;
      return send_on(slot, call);
    }
    ++unsent;
  }
  void check(std::function<void(const std::string&)> got) {
    auto conn = connect_to(loop_, port_);
    if (!conn) return;
    conn->on_data = [conn_weak = std::weak_ptr<Conn>(conn), got](std::string& in) {
      if (in.find("UP") != std::string::npos)
        got("UP");
      else if (in.find("DOWN") != std::string::npos)
        got("DOWN");
      if (const auto c = conn_weak.lock()) c->close();
    };
    conn->write(resp_array({"CHECK", "1", ""}));
    probe_ = conn;
  }
  void close() {
    for (Slot& slot : slots_) {
      if (slot.conn) slot.conn->close();
      slot.conn = nullptr;
    }
  }
  std::size_t open_calls() const {
    std::size_t sum = 0;
    for (const Slot& slot : slots_) sum += slot.open.size();
    return sum;
  }

 private:
  struct Slot {
    std::shared_ptr<Conn> conn;
    std::map<std::string, std::shared_ptr<Call>> open;  // by tag
    std::uint64_t last_tag = 0;
    int number = 0;
  };
  Loop& loop_;
  Record& record_;
  int port_;
  std::vector<Slot> slots_;
  std::size_t next_ = 0;
  int opened_ = 0;
  std::shared_ptr<Conn> probe_;

  void open(Slot& slot) {
    slot.conn = connect_to(loop_, port_);
    if (!slot.conn) return;
    slot.conn->wait_for_reset_ms = wait_for_reset_ms;
    slot.number = ++opened_;
    slot.last_tag = 0;
    Slot* at = &slot;
    slot.conn->on_data = [this, at](std::string& in) { parse(*at, in); };
    slot.conn->on_end = [this, at](bool reset) { ended(*at, reset); };
  }
  void send_on(Slot& slot, const std::shared_ptr<Call>& call) {
    const std::string tag = std::to_string(++slot.last_tag);
    const std::string fields =
        "ref=" + call->ref + ",allow=" + std::to_string(static_cast<int>(call->allow)) +
        ",project=" + call->tenant + ",lookup=" + call->function + ",spec=memory_mb:3600;lanes:4";
    slot.conn->write(resp_array({"CALL", tag, call->class_name, fields, call->body}));
    call->sent = now_ms();
    slot.open[tag] = call;
    calls.push_back(call);
    record_.line("client: connection %d sends %s %s%s", slot.number, call->class_name.c_str(),
                 call->ref.c_str(), call->resent ? " again" : "");
  }
  void parse(Slot& slot, std::string& in) {
    while (true) {
      std::vector<std::string> words;
      std::size_t at = 0;
      if (!read_array(in, at, words)) return;
      in.erase(0, at);
      if (words.size() < 2) continue;
      const auto found = slot.open.find(words[0]);
      if (found == slot.open.end()) {
        record_.line("client: connection %d gets %s for no open request", slot.number, words[1].c_str());
        ++stray_answers;
        continue;
      }
      const auto call = found->second;
      slot.open.erase(found);
      call->answered = now_ms();
      call->word = words[1];
      ++call->answers;
      if (call->word == "OK") {
        const std::string body = words.size() > 3 ? words[3] : "";
        if (body != "answer-to-" + call->ref) call->wrong = body;
      }
      record_.line("client: %s answered %s after %.0f ms", call->ref.c_str(), call->word.c_str(),
                   call->answered - call->sent);
      if (on_answer) on_answer(*call);
    }
  }
  static bool read_array(const std::string& in, std::size_t& at, std::vector<std::string>& words) {
    const auto number = [&](char prefix, long& value) {
      const auto end = in.find("\r\n", at);
      if (end == std::string::npos || in[at] != prefix) return false;
      value = std::atol(in.c_str() + at + 1);
      at = end + 2;
      return true;
    };
    long count = 0;
    if (!number('*', count)) return false;
    for (long i = 0; i < count; ++i) {
      long size = 0;
      if (!number('$', size) || in.size() < at + static_cast<std::size_t>(size) + 2) return false;
      words.push_back(in.substr(at, static_cast<std::size_t>(size)));
      at += static_cast<std::size_t>(size) + 2;
    }
    return true;
  }
  // A request that crossed the close within 50 ms is sent again on a new connection, once.
  void ended(Slot& slot, bool reset) {
    const double now = now_ms();
    record_.line("client: connection %d %s with %zu open requests", slot.number,
                 reset ? "was reset or refused" : "was closed by the invoker", slot.open.size());
    const auto open = std::move(slot.open);
    slot.open.clear();
    const bool taken = slot.conn && slot.conn->was_up();  // else the machine never accepted the connection
    slot.conn = nullptr;
    for (const auto& [tag, call] : open) {
      call->connection_ended = now;
      call->reset = reset;
      if (!taken) {
        call->cancelled = true;
        continue;
      }
      if (now - call->sent <= 50 && !call->resent) {
        auto again = std::make_shared<Call>(*call);
        call->cancelled = true;  // the first is not judged
        again->resent = true;
        again->connection_ended = 0;
        again->reset = false;
        loop_.after(0, [this, again] { send(again); });
      } else if (on_answer) {
        on_answer(*call);
      }
    }
  }

 public:
  std::size_t stray_answers = 0;
};

inline std::string hex16(std::uint64_t value) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::strcmp(value, "0") != 0;
}

// Waits until the invoker answers CHECK with UP.
inline void wait_ready(Loop& loop, Record& record, Invoker& invoker, Client& client) {
  bool up = false;
  const double end = now_ms() + 20000;
  while (!up && now_ms() < end) {
    client.check([&up](const std::string& word) { up = up || word == "UP"; });
    loop.run_until(std::min(end, now_ms() + 200), [&up] { return up; });
    if (!invoker.running()) cannot_run("the invoker ended at its start");
  }
  if (!up) cannot_run("the invoker did not answer CHECK with UP within 20 s");
  record.line("invoker: ready");
}

}  // namespace rig
