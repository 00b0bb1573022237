#include "net/buffer.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "net/system_calls.h"

namespace pathstack::net {

BufferPool::Lease BufferPool::take(const Outbox& asker) {
  const bool exhausted = free_.empty() && made_ >= max_blocks_;
  if (exhausted && !discard_largest(asker)) return Lease(nullptr, GiveBack{this});
  if (free_.empty()) {
    ++made_;
    return Lease(new Block, GiveBack{this});
  }
  Lease lease(free_.back().release(), GiveBack{this});
  free_.pop_back();
  return lease;
}

void BufferPool::remove(Outbox& outbox) {
  outboxes_.erase(std::remove(outboxes_.begin(), outboxes_.end(), &outbox), outboxes_.end());
}

bool BufferPool::discard_largest(const Outbox& asker) {
  const auto fewer = [](const Outbox* a, const Outbox* b) { return a->blocks() < b->blocks(); };
  const auto largest = std::max_element(outboxes_.begin(), outboxes_.end(), fewer);
  if (largest == outboxes_.end() || (*largest)->blocks() <= asker.blocks()) return false;
  (*largest)->discard();
  return true;
}

Outbox::Outbox(BufferPool& pool, std::function<void()> discarded)
    : pool_(pool), discarded_(std::move(discarded)) {
  pool_.add(*this);
}

Outbox::~Outbox() { pool_.remove(*this); }

void Outbox::discard() {
  blocks_.clear();
  head_ = tail_ = 0;
  if (discarded_) discarded_();
}

bool Outbox::append(std::string_view bytes) {
  while (!bytes.empty()) {
    if (blocks_.empty() || tail_ == BufferPool::block_size) {
      auto lease = pool_.take(*this);
      if (!lease) return false;
      if (blocks_.empty()) head_ = 0;
      blocks_.push_back(std::move(lease));
      tail_ = 0;
    }
    const std::size_t part = std::min(bytes.size(), BufferPool::block_size - tail_);
    std::memcpy(blocks_.back()->data() + tail_, bytes.data(), part);
    tail_ += part;
    appended_ += part;
    bytes.remove_prefix(part);
  }
  return true;
}

Outbox::Written Outbox::write_to(int fd) {
  while (!blocks_.empty()) {
    const std::size_t end = blocks_.size() == 1 ? tail_ : BufferPool::block_size;
    const ssize_t sent = system_calls().send(fd, blocks_.front()->data() + head_, end - head_);
    if (sent < 0) {
      if (errno == EINTR) continue;
      return errno == EAGAIN || errno == EWOULDBLOCK ? Written::some : Written::broken;
    }
    written_ += static_cast<std::size_t>(sent);
    head_ += static_cast<std::size_t>(sent);
    if (head_ < end) continue;
    blocks_.pop_front();
    head_ = 0;
  }
  return Written::all;
}

}  // namespace pathstack::net
