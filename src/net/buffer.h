// Bounded memory for unwritten bytes: blocks of one size from a pool, and the queue of each connection.
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
/// Once all blocks are in use, the outbox that holds the most of them loses its own to whoever asks with
/// fewer: a peer that reads nothing must not end the connection that happens to write next. Not thread-safe;
/// outlives all its outboxes.
class BufferPool {
 public:
  /// Bytes of a block.
  static constexpr std::size_t kBlockSize = std::size_t{16} * 1024;
  using Block = std::array<char, kBlockSize>;

  /// Returns a block to its pool.
  struct ReturnToPool {
    BufferPool* pool;
    void operator()(Block* block) const { pool->free_.emplace_back(block); }
  };
  /// The right to use a block, which goes back to the pool with it.
  using Lease = std::unique_ptr<Block, ReturnToPool>;

  /// Blocks are allocated on demand, at most `max_blocks`, and kept for reuse.
  explicit BufferPool(std::size_t max_blocks) : max_blocks_(max_blocks) {}

  /// A block for `requester`; empty if all are in use and `requester` holds as many as anyone. Cost: O(1), or
  /// the number of outboxes when all blocks are in use.
  Lease take(const Outbox& requester);

  /// The number of blocks in use.
  std::size_t blocks_in_use() const { return allocated_ - free_.size(); }

 private:
  friend class Outbox;
  std::size_t max_blocks_, allocated_ = 0;
  std::vector<std::unique_ptr<Block>> free_;
  std::vector<Outbox*> outboxes_;  // of all connections

  void add(Outbox& outbox) { outboxes_.push_back(&outbox); }
  void remove(Outbox& outbox);
  bool discard_largest(const Outbox& requester);
};

/// The bytes that one connection has yet to write, in order. Owned by its stream; not thread-safe.
class Outbox {
 public:
  /// What one call of `write_to` came to.
  enum class WriteStatus {
    complete,  // nothing is left to write
    partial,   // the kernel takes no more for now
    failed     // the connection is broken; errno has the reason
  };

  /// `discarded` is called when the pool has taken this outbox's blocks for another one: the stream has a gap
  /// from then on and has to end. It must not write.
  explicit Outbox(BufferPool& pool, std::function<void()> discarded = {});
  ~Outbox();
  Outbox(const Outbox&) = delete;
  Outbox& operator=(const Outbox&) = delete;

  /// False if no block was to be had: a part may be missing, so the stream has to end. Cost: linear in the
  /// number of bytes.
  bool append(std::string_view bytes);

  /// Passes bytes to the socket until it takes no more.
  WriteStatus write_to(int fd);

  bool empty() const { return appended_ == written_; }

  /// The number of blocks held.
  std::size_t blocks() const { return blocks_.size(); }

  /// Bytes appended since the start of the connection.
  std::uint64_t appended() const { return appended_; }

  /// Bytes handed to the kernel since the start of the connection.
  std::uint64_t written() const { return written_; }

 private:
  friend class BufferPool;
  BufferPool& pool_;
  std::function<void()> discarded_;
  std::deque<BufferPool::Lease> blocks_;
  std::size_t head_ = 0;  // the first unwritten byte, in the first block
  std::size_t tail_ = 0;  // the end of what was appended, in the last block
  std::uint64_t appended_ = 0, written_ = 0;

  void discard();
};

}  // namespace pathstack::net
