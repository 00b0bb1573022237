// Case 3: bad clients send many requests at once, and halves of requests. See claim.txt.
#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <vector>

#include "../common/change_log.h"
#include "../common/client.h"
#include "../common/joburg.h"
#include "../common/program.h"
#include "../common/record.h"
#include "../common/worker.h"

namespace pathstack::review {
namespace {

constexpr int kWorkers = 10;
constexpr int kMemoryMb = 32;   // the page: 32 to 192
constexpr int kSockets = 1024;  // the page: 256 to 1,024
constexpr int kUsualClients = 20;
constexpr Millis kUsualInterval{10};  // 100 requests a second in all
constexpr int kBadClients = 300;      // with the usual ones under a third of the descriptors
constexpr int kAtOnce = 31;           // requests that a bad client sends at once, of which
constexpr int kLarge = 4;             //   so many have a body of the largest size
constexpr std::size_t kLargestBody = 16 * 1024;
constexpr std::size_t kUsualBody = 600;
constexpr Millis kBadFrom{3000}, kBadTo{15000}, kStay{1500};  // until it closes and comes again
constexpr Millis kLength{18000};
constexpr int kFunctions = 12;

class Play {
 public:
  Play(const std::string& root, const std::string& folder, const std::string& work, bool trouble)
      : root_(root), work_(work), trouble_(trouble), record_(folder + "/record.txt"), log_(loop_, pool_) {
    WorkerSettings settings;
    settings.slots = 16;
    settings.queue = 16;
    settings.run = Millis(100);
    settings.load = Millis(400);
    settings.loads_on_call = true;
    for (int i = 0; i < kWorkers; ++i) {
      workers_.push_back(std::make_unique<Worker>(loop_, pool_, record_, "s-" + std::to_string(i), settings));
      workers_.back()->knows = [](const std::string& function) { return function < hex16(kFunctions); };
    }
  }

  int run() {
    address_ = free_address();
    write_joburg_configuration(root_, work_, address_, log_.address(), workers_, kMemoryMb, kSockets);
    Program program(root_, deploy_command(root_, "run"), work_ + "/config.json", work_ + "/invoker.log");
    if (!wait_until_ready()) {
      std::cout << "the invoker was not ready within 30 s\n";
      return 2;
    }
    for (int i = 0; i < kUsualClients; ++i) open_usual_client();
    const Millis began = loop_.now();
    Millis next = began, sample_at = began;
    while (loop_.now() < began + kLength && !program.has_ended()) {
      const Millis since = loop_.now() - began;
      for (; next <= loop_.now(); next += kUsualInterval) send_usual_call();
      const bool floods = trouble_ && since >= kBadFrom && since < kBadTo;
      while (floods && bad_open_ < kBadClients) open_bad_client();
      if (loop_.now() >= sample_at) {
        sample_memory(program.pid());
        sample_at = loop_.now() + Millis(25);
      }
      turn();
    }
    return judge(program.has_ended());
  }

 private:
  std::string root_, work_, address_;
  bool trouble_;
  net::Loop loop_;
  net::BufferPool pool_{16384};
  Record record_;
  ChangeLog log_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::shared_ptr<Client>> usual_;
  std::vector<std::shared_ptr<Client>> bad_;
  std::mt19937_64 random_{7};
  int bad_open_ = 0, bad_connections_ = 0, sent_usual_ = 0, sent_bad_ = 0, served_ = 0, refused_ = 0,
      failed_ = 0, bad_answers_ = 0;
  double peak_kb_ = 0, last_recorded_kb_ = 0;

  void turn() {
    loop_.turn(loop_.now() + Millis(5), [] {});
  }

  bool wait_until_ready() {
    bool ready = false;
    std::shared_ptr<Client> client;
    Millis retry_at{0};
    const Millis give_up = loop_.now() + Millis(30000);
    while (!ready && loop_.now() < give_up) {
      if (loop_.now() >= retry_at) {
        client = std::make_shared<Client>(loop_, pool_, address_);
        client->on_connected = [](Client& c) { c.write(resp_array({"CHECK", "1", ""})); };
        client->on_answer = [&ready](Client&, const Client::Words& words) {
          ready = words.size() > 1 && words[1] == "UP";
        };
        retry_at = loop_.now() + Millis(100);
      }
      turn();
    }
    return ready;
  }

  std::string call(int tag, const std::string& function, const std::string& body) {
    const std::string fields = "ref=" + hex16(random_()) +
                               ",allow=4000,project=karoo-main,lookup=" + function +
                               ",spec=memory_mb:3000;lanes:4";
    return resp_array({"CALL", std::to_string(tag), "preview", fields, body});
  }

  void open_usual_client() {
    usual_.push_back(std::make_shared<Client>(loop_, pool_, address_));
    const std::size_t number = usual_.size();
    usual_.back()->on_answer = [this, number](Client&, const Client::Words& words) {
      if (words.size() < 2) return;
      record_.line("usual client " + std::to_string(number) + " gets " + words[0] + ' ' + words[1]);
      if (words[1] == "OK") ++served_;
      if (words[1] == "BUSY") ++refused_;
      if (words[1] == "FAILED") ++failed_;
    };
  }

  void send_usual_call() {
    const int number = ++sent_usual_;
    Client& client = *usual_[static_cast<std::size_t>(number % kUsualClients)];
    record_.line("usual client " + std::to_string(number % kUsualClients + 1) + " sends " +
                 std::to_string(number));
    client.write(call(number, hex16(random_() % (kFunctions - 1) + 1), std::string(kUsualBody, 'u')));
  }

  // Sends its requests at once, then the first part of one more, stays for a while and closes.
  void open_bad_client() {
    ++bad_open_;
    ++bad_connections_;
    auto client = std::make_shared<Client>(loop_, pool_, address_);
    const int connection = bad_connections_;
    client->on_connected = [this, connection](Client& c) {
      record_.line("bad client " + std::to_string(connection) + " sends " + std::to_string(kAtOnce) +
                   " requests and half of one");
      for (int i = 1; i <= kAtOnce; ++i) {
        c.write(call(i, hex16(random_() | 1ULL << 63), std::string(i <= kLarge ? kLargestBody : 1, 'b')));
      }
      sent_bad_ += kAtOnce;
      const std::string half =
          call(kAtOnce + 1, hex16(random_() | 1ULL << 63), std::string(kLargestBody, 'h'));
      c.write(half.substr(0, half.size() - 3));
    };
    auto answers = std::make_shared<int>(0);
    client->on_answer = [this, answers](Client&, const Client::Words&) {
      ++bad_answers_;
      ++*answers;
    };
    client->on_ended = [this, connection, answers](Client& c) {
      --bad_open_;
      record_.line("bad client " + std::to_string(connection) + " ends with " + std::to_string(*answers) +
                   " answers");
      for (auto i = bad_.begin(); i != bad_.end(); ++i) {
        if (i->get() != &c) continue;
        loop_.defer_destruction(*i);
        bad_.erase(i);
        return;
      }
    };
    loop_.at(loop_.now() + kStay, [weak = std::weak_ptr<Client>(client)] {
      if (const auto alive = weak.lock()) alive->end_later();
    });
    bad_.push_back(std::move(client));
  }

  // Only the memory that the program has written itself: neither its files nor its libraries.
  void sample_memory(pid_t pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("RssAnon:", 0) != 0) continue;
      const double kb = std::stod(line.substr(8));
      peak_kb_ = std::max(peak_kb_, kb);
      if (kb < last_recorded_kb_ * 1.1) return;
      last_recorded_kb_ = kb;
      record_.line("memory of the invoker " + std::to_string(static_cast<int>(kb)) + " KB, " +
                   std::to_string(bad_open_) + " bad clients connected, " + std::to_string(sent_bad_) +
                   " requests of bad clients so far");
    }
  }

  int judge(bool ended) {
    const std::string sum = "peak memory " + std::to_string(static_cast<int>(peak_kb_ / 1024)) + " MB of " +
                            std::to_string(kMemoryMb) + " MB; usual clients: " + std::to_string(sent_usual_) +
                            " sent, " + std::to_string(served_) + " served, " + std::to_string(refused_) +
                            " refused, " + std::to_string(failed_) +
                            " failed; bad clients: " + std::to_string(bad_connections_) + " connections, " +
                            std::to_string(sent_bad_) + " requests, " + std::to_string(bad_answers_) +
                            " answers" + (ended ? "; the invoker has ended" : "");
    record_.line(sum);
    std::cout << sum << '\n';
    if (served_ == 0 || peak_kb_ <= 0) return 2;  // the run or the measurement failed
    return ended || peak_kb_ > kMemoryMb * 1024.0 ? 1 : 0;
  }
};

}  // namespace
}  // namespace pathstack::review

int main(int count, char** words) {
  if (count != 4) {
    std::cerr << "usage: play ROOT FOLDER WORK\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const bool trouble = pathstack::review::environment("TROUBLE", "1") != "0";
    return pathstack::review::Play(words[1], words[2], words[3], trouble).run();
  } catch (const std::exception& fault) {
    std::cerr << fault.what() << '\n';
    return 2;
  }
}
