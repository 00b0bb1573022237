#include "net/buffer.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "net/system_calls.h"

namespace pathstack::net {
namespace {

constexpr std::size_t kMaxFreeBlocks = 16;  // kept for reuse

}  // namespace

BufferPool::Lease BufferPool::take(const Outbox& requester) {
  const ReturnToPool deleter{this};
  const bool exhausted = free_.empty() && allocated_ >= max_blocks_;
  if (exhausted && !discard_largest(requester)) return {nullptr, deleter};
  if (free_.empty()) {
    ++allocated_;
    return {new Block, deleter};
  }
  Lease lease(free_.back().release(), deleter);
  free_.pop_back();
  return lease;
}

void BufferPool::remove(Outbox& outbox) {
  outboxes_.erase(std::remove(outboxes_.begin(), outboxes_.end(), &outbox), outboxes_.end());
}

void BufferPool::put_back(std::unique_ptr<Block> block) {
  if (free_.size() < kMaxFreeBlocks) {
    free_.push_back(std::move(block));
  } else {
    --allocated_;
  }
}

bool BufferPool::discard_largest(const Outbox& requester) {
  const auto fewer = [](const Outbox* a, const Outbox* b) { return a->blocks() < b->blocks(); };
  const auto largest = std::max_element(outboxes_.begin(), outboxes_.end(), fewer);
  if (largest == outboxes_.end() || (*largest)->blocks() <= requester.blocks()) return false;
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
    if (blocks_.empty() || tail_ == BufferPool::kBlockSize) {
      auto lease = pool_.take(*this);
      if (!lease) return false;
      if (blocks_.empty()) head_ = 0;
      blocks_.push_back(std::move(lease));
      tail_ = 0;
    }
    const std::size_t part = std::min(bytes.size(), BufferPool::kBlockSize - tail_);
    std::memcpy(blocks_.back()->data() + tail_, bytes.data(), part);
    tail_ += part;
    appended_ += part;
    bytes.remove_prefix(part);
  }
  return true;
}

Outbox::WriteStatus Outbox::write_to(int fd) {
  while (!blocks_.empty()) {
    const std::size_t end = blocks_.size() == 1 ? tail_ : BufferPool::kBlockSize;
    const ssize_t sent = system_calls().send(fd, blocks_.front()->data() + head_, end - head_);
    if (sent < 0) {
      if (errno == EINTR) continue;
      const bool would_block = errno == EAGAIN || errno == EWOULDBLOCK;
      return would_block ? WriteStatus::partial : WriteStatus::failed;
    }
    written_ += static_cast<std::size_t>(sent);
    head_ += static_cast<std::size_t>(sent);
    if (head_ < end) continue;
    blocks_.pop_front();
    head_ = 0;
  }
  return WriteStatus::complete;
}

}  // namespace pathstack::net
