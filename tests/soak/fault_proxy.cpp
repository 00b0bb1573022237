#include "fault_proxy.h"

#include <utility>

#include "shared_list.h"

namespace pathstack::soak {

// One of the two connections of a link: to the client or to the target.
class FaultProxy::Side final : public net::Stream {
 public:
  Side(FaultProxy& proxy, Link& link, net::Socket socket, bool connecting)
      : Stream(proxy.loop_, proxy.pool_, std::move(socket), connecting), proxy_(proxy), link_(link) {}
  Link& link() { return link_; }

 private:
  FaultProxy& proxy_;
  Link& link_;

  void connected() override { loop().flush_later(*this); }
  void received(std::string_view bytes) override { proxy_.forward(*this, bytes); }
  void ended() override { proxy_.link_ended(link_); }
};

struct FaultProxy::Link {
  std::unique_ptr<Side> client, target;
  bool ending = false;
};

FaultProxy::FaultProxy(net::Loop& loop, net::BufferPool& pool, std::string target)
    : loop_(loop),
      pool_(pool),
      target_(std::move(target)),
      listener_(loop, [this](net::Socket client) { accept(std::move(client)); }) {}

FaultProxy::~FaultProxy() = default;

void FaultProxy::accept(net::Socket client) {
  auto link = std::make_shared<Link>();
  link->client = std::make_unique<Side>(*this, *link, std::move(client), false);
  link->target = std::make_unique<Side>(*this, *link, net::connect_to(target_), true);
  links_.push_back(std::move(link));
}

void FaultProxy::forward(Side& from, std::string_view bytes) {
  if (mode_ != Mode::pass && mode_ != Mode::truncate) return;
  Link& link = from.link();
  const bool from_target = &from == link.target.get();
  if (mode_ == Mode::truncate) {
    if (!from_target) return;
    link.client->write(bytes.substr(0, bytes.size() / 2));
    mode_ = Mode::silent;
    return;
  }
  if (!from_target) return link.target->write(bytes);
  if (delay_.count() <= 0) return link.client->write(bytes);
  loop_.at(loop_.now() + delay_,
           [weak = std::weak_ptr<Link>(owner_of(links_, link)), text = std::string(bytes)] {
             if (const auto alive = weak.lock()) alive->client->write(text);
           });
}

void FaultProxy::set_mode(Mode mode) {
  const bool was_held_back = mode_ == Mode::silent || mode_ == Mode::truncate;
  mode_ = mode;
  if (mode == Mode::refuse) listener_.close();
  if (mode != Mode::refuse) listener_.reopen();
  if (mode == Mode::refuse || (mode == Mode::pass && was_held_back)) break_connections();
}

void FaultProxy::break_connections() {
  for (const auto& link : links_) {
    link->client->end_later();
    link->target->end_later();
  }
}

// The end of one connection closes the other one too.
void FaultProxy::link_ended(Link& link) {
  if (std::exchange(link.ending, true)) return;
  link.client->end_later();
  link.target->end_later();
  release(links_, link, loop_);
}

}  // namespace pathstack::soak
