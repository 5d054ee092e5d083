#pragma once

#include <atomic>
#include <cstddef>

namespace laburnum {

/// Bounds the memory that the heads and bodies of all messages of a process
/// take together, each of which holds a share. Thread-safe.
class BodyMemory {
public:
  explicit BodyMemory(std::size_t MaxBytes) : MaxBytes_(MaxBytes) {}

  /// The memory of one head or body, which is returned when this is destroyed.
  class Share {
  public:
    /// The first bytes of every body are free, so that clients with large
    /// bodies don't keep out the others.
    static constexpr std::size_t FreeBytes = std::size_t{64} << 10;

    explicit Share(BodyMemory &Memory) : Memory_(Memory) {}
    ~Share() { Memory_.Taken_ -= Taken_; }
    Share(Share const &) = delete;
    Share &operator=(Share const &) = delete;

    /// Extends the share to a body of so many bytes. Returns false if there is
    /// no room.
    bool extend(std::size_t BodyBytes);

  private:
    BodyMemory &Memory_;
    std::size_t Taken_ = 0;
  };

private:
  std::size_t const MaxBytes_;
  std::atomic<std::size_t> Taken_ = 0;
};

} // namespace laburnum
