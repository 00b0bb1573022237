/// A stand-in for a host that reacts at random (answers, late answers, silence, closes and resets) and
/// records the attempts that it received.
#pragma once

#include <sys/socket.h>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "hosts/line_parser.h"
#include "net/fields.h"
#include "support/call_book.h"
#include "support/random.h"
#include "support/server.h"

namespace pathstack::test {

/// Records its attempts in a `CallBook`, at times of the given clock. `seed` determines the choice of
/// reactions.
class RandomHost {
 public:
  using Now = std::function<Moment()>;
  RandomHost(net::Loop& loop, net::BufferPool& pool, CallBook& book, Now now, std::size_t number,
             std::uint64_t seed)
      : server(loop, pool, *this), book_(book), now_(std::move(now)), number_(number), random_(seed) {}

  class Peer final : public net::Stream {
   public:
    Peer(RandomHost& host, net::Loop& loop, net::BufferPool& pool, net::Socket socket)
        : Peer(host, loop, pool, socket.fd(), std::move(socket)) {}
    ~Peer() override {
      for (const auto& timer : timers_) loop().cancel(timer);
    }

   private:
    RandomHost& host_;
    int fd_;
    hosts::LineParser parser_;                 // requests have the form of answers, with the verb first
    std::map<std::string, std::size_t> open_;  // by ref: index among the attempts of the call
    std::vector<net::Loop::TimerId> timers_;

    Peer(RandomHost& host, net::Loop& loop, net::BufferPool& pool, int fd, net::Socket socket)
        : Stream(loop, pool, std::move(socket), false), host_(host), fd_(fd) {}

    void received(std::string_view bytes) override {
      std::vector<hosts::Reply> lines;
      REQUIRE(parser_.take(bytes, lines));
      for (const auto& line : lines) {
        if (!ending()) take(line);
      }
    }
    void take(const hosts::Reply& line) {
      if (line.id == "health") write(line.word + " well - 0\r\n\r\n");
      if (line.id == "load") write(line.word + " well l=inflight:1;util:0.5 0\r\n\r\n");
      if (line.id == "ensure") write(line.word + " data count=1\r\n");
      if (line.id == "drop") cancel(line.word);
      if (line.id == "exec") exec(line);
    }
    void exec(const hosts::Reply& line) {
      const auto found = host_.book_.calls.find(line.word);
      if (found == host_.book_.calls.end()) return host_.book_.strays.push_back("exec " + line.word);
      const auto fields = net::parse_fields(line.fields);
      REQUIRE(fields);
      HostAttempt attempt;
      attempt.host = host_.number_;
      attempt.came = host_.now_();
      attempt.timeout = Millis(std::stod(net::field(*fields, "patience")));
      const std::size_t index = found->second.attempts.size();
      open_[line.word] = index;
      found->second.attempts.push_back(attempt);
      react(line.word, index);
    }
    // Half of the cancelled attempts are still answered, as an answer may cross with the cancel.
    void cancel(const std::string& ref) {
      if (open_.count(ref) == 0) return;
      end_attempt(ref, {});
      if (below(host_.random_, 2) == 0) write_answer(ref, "data");
    }
    void react(const std::string& ref, std::size_t index) {
      const std::size_t choice = below(host_.random_, 100);
      if (choice < 3) return end_later();
      if (choice < 6) return reset();
      if (choice < 14) return;  // never answers
      std::string word = "data";
      if (choice < 40) word = "moot";
      if (choice < 33) word = "failed";
      if (choice < 27) word = "full";
      if (choice < 20) word = "absent";
      const Millis wait(static_cast<double>(below(host_.random_, below(host_.random_, 4) == 0 ? 200 : 12)));
      timers_.push_back(loop().at(loop().now() + wait, [this, ref, index, word] {
        const auto found = open_.find(ref);
        if (ending() || found == open_.end() || found->second != index) return;
        write_answer(ref, word);
        end_attempt(ref, word);
      }));
    }
    void write_answer(const std::string& ref, const std::string& word) {
      const std::string body = word == "data" ? ref + std::string(below(host_.random_, 3000), 'b') : "";
      if (word == "data") host_.book_.calls.at(ref).bodies_given.insert(body);
      write(ref + ' ' + word + " l=inflight:1;util:0.5 " + std::to_string(body.size()) + "\r\n" + body +
            "\r\n");
    }
    void end_attempt(const std::string& ref, const std::string& word) {
      const auto found = open_.find(ref);
      if (found == open_.end()) return;
      HostAttempt& attempt = host_.book_.calls.at(ref).attempts[found->second];
      attempt.answer = word;
      attempt.over = host_.now_();
      open_.erase(found);
    }
    void reset() {
      const struct linger at_once { 1, 0 };
      setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      end_later();
    }
    void ended() override {
      while (!open_.empty()) end_attempt(std::string(open_.begin()->first), {});
      host_.server.gone(*this);
    }
  };
  Server<Peer, RandomHost> server;
  void gone(Peer& peer) { server.gone(peer); }

 private:
  CallBook& book_;
  Now now_;
  std::size_t number_;
  Random random_;
};

}  // namespace pathstack::test
