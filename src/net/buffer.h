// Buffers of one size from a pool, and the queue of bytes that a connection has yet to write.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace pathstack::net {

class Outbox;

/// The memory in which bytes wait to be written, shared by all connections of the program and bounded.
///
/// Once all blocks are out, the outbox that holds the most of them loses its own to whoever asks with fewer:
/// a peer that reads nothing must not end the connection that happens to write next.
class BufferPool {
 public:
  static constexpr std::size_t block_size = std::size_t{16} * 1024;
  using Block = std::array<char, block_size>;
  struct GiveBack {
    BufferPool* pool;
    void operator()(Block* block) const { pool->free_.emplace_back(block); }
  };
  using Lease = std::unique_ptr<Block, GiveBack>;

  explicit BufferPool(std::size_t max_blocks) : max_blocks_(max_blocks) {}
  /// A block for `asker`, or nothing if all are out and `asker` holds as many as anyone. Cost: constant, or
  /// the number of outboxes when all blocks are out.
  Lease take(const Outbox& asker);
  /// Blocks that are in use.
  std::size_t out() const { return made_ - free_.size(); }

 private:
  friend class Outbox;
  std::size_t max_blocks_, made_ = 0;
  std::vector<std::unique_ptr<Block>> free_;
  std::vector<Outbox*> outboxes_;  // of all connections

  void add(Outbox& outbox) { outboxes_.push_back(&outbox); }
  void remove(Outbox& outbox);
  bool discard_largest(const Outbox& asker);
};

/// The bytes that one connection has yet to write, in order.
class Outbox {
 public:
  enum class Written { all, some, broken };

  /// `discarded` is called when the pool has taken this outbox's blocks for another one: the stream has a gap
  /// from then on and has to end. It must not write.
  explicit Outbox(BufferPool& pool, std::function<void()> discarded = {});
  ~Outbox();
  Outbox(const Outbox&) = delete;
  Outbox& operator=(const Outbox&) = delete;

  /// False if no buffer was to be had: a part may be missing, so the stream has to end.
  bool append(std::string_view bytes);
  Written write_to(int fd);
  bool empty() const { return appended_ == written_; }
  std::size_t blocks() const { return blocks_.size(); }
  std::uint64_t appended() const { return appended_; }  // offsets count from the connection's start
  std::uint64_t written() const { return written_; }    // handed to the kernel

 private:
  friend class BufferPool;
  BufferPool& pool_;
  std::function<void()> discarded_;
  std::deque<BufferPool::Lease> blocks_;
  std::size_t head_ = 0, tail_ = 0;  // first unwritten byte of the first block, end of the last
  std::uint64_t appended_ = 0, written_ = 0;

  void discard();
};

}  // namespace pathstack::net
