/// Bounded memory for unwritten bytes: a pool of fixed-size blocks, and the output queue of each connection.
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

/// The bounded memory for unwritten bytes, shared by all connections of the program.
///
/// If all blocks are in use, the outbox that holds the most blocks is discarded in favour of a requester that
/// holds fewer: a peer that does not read must not end the connection that happens to write next. Not
/// thread-safe; must outlive all its outboxes.
class BufferPool {
 public:
  /// Size of a block in bytes.
  static constexpr std::size_t kBlockSize = std::size_t{16} * 1024;
  using Block = std::array<char, kBlockSize>;

  /// Returns a block to its pool.
  struct ReturnToPool {
    BufferPool* pool;
    void operator()(Block* block) const { pool->put_back(std::unique_ptr<Block>(block)); }
  };
  /// Owns a block; returns it to the pool on destruction.
  using Lease = std::unique_ptr<Block, ReturnToPool>;

  /// Blocks are allocated on demand, at most `max_blocks`. Some are kept for reuse, the others are freed.
  explicit BufferPool(std::size_t max_blocks) : max_blocks_(max_blocks) {}

  /// Allocates a block for `requester`; empty if all blocks are in use and no other outbox holds more blocks
  /// than `requester`. Cost: O(1), or linear in the number of outboxes if all blocks are in use.
  Lease take(const Outbox& requester);

  /// The number of blocks in use.
  std::size_t blocks_in_use() const { return allocated_ - free_.size(); }
  /// The memory of all blocks, in bytes.
  std::size_t bytes() const { return allocated_ * kBlockSize; }

 private:
  friend class Outbox;
  std::size_t max_blocks_, allocated_ = 0;
  std::vector<std::unique_ptr<Block>> free_;
  std::vector<Outbox*> outboxes_;  // of all connections

  void add(Outbox& outbox) { outboxes_.push_back(&outbox); }
  void remove(Outbox& outbox);
  void put_back(std::unique_ptr<Block> block);
  bool discard_largest(const Outbox& requester);
};

/// The queue of unwritten bytes of one connection. Owned by its stream; not thread-safe.
class Outbox {
 public:
  /// The result of `write_to`.
  enum class WriteStatus {
    complete,  // all bytes were written
    partial,   // the send buffer of the socket is full
    failed     // the connection is broken; errno has the reason
  };

  /// `discarded` is called after the pool has taken the blocks of this outbox for another one. The stream
  /// then has a gap and must end. `discarded` must not write.
  explicit Outbox(BufferPool& pool, std::function<void()> discarded = {});
  ~Outbox();
  Outbox(const Outbox&) = delete;
  Outbox& operator=(const Outbox&) = delete;

  /// Returns false if no block is available. A part of `bytes` may be missing then, so the stream must end.
  /// Cost: linear in the number of bytes.
  bool append(std::string_view bytes);

  /// Writes to the socket until the outbox is empty or the socket accepts no more bytes.
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
  std::size_t head_ = 0;  // offset of the first unwritten byte in the first block
  std::size_t tail_ = 0;  // offset after the last appended byte in the last block
  std::uint64_t appended_ = 0, written_ = 0;

  void discard();
};

}  // namespace pathstack::net
