#pragma once

#include <LibCore/Time.h>
#include <LibHttp/UnwrittenTotal.h>

#include <compare>
#include <cstddef>
#include <memory>
#include <unordered_map>

namespace laburnum {

/// Limits on what clients' connections take of a process together.
struct IntakeLimits {
  /// Bytes of requests that are being read or served.
  std::size_t Bytes_ = std::size_t{32} << 20;
  /// Open connections of one listener.
  std::size_t Connections_ = 4096;

  auto operator<=>(IntakeLimits const &) const = default;
};

/// Bounds the memory of all requests that a process is reading and serving.
/// Where they exceed it, the requests that have been read for the longest time
/// are given up first: those of ordinary clients are whole within milliseconds.
/// Requests that are being served are never given up. Used on one thread.
class IntakeBudget {
public:
  /// A connection whose request takes memory.
  class Holder {
  public:
    virtual ~Holder() = default;
    /// The request is to be refused, and its memory to be freed, at once.
    virtual void giveUpRequest() = 0;
  };

  enum class Stage { Reading, Serving };

  explicit IntakeBudget(IntakeLimits Limits = {}) : Limits_(Limits) {}

  IntakeLimits const &limits() const { return Limits_; }

  /// Sets what a holder's request takes now, and gives up requests until all
  /// are within the limit. The holder itself may be one of them. Returns
  /// whether its request may stay.
  bool set(Holder &Of, std::size_t Bytes, Stage At, TimePoint BegunAt);
  /// The holder's request takes no memory any more.
  void remove(Holder &Of);
  std::size_t heldBytes() const { return HeldBytes_; }
  /// Of the answers on all connections.
  std::shared_ptr<UnwrittenTotal> const &unwritten() const {
    return Unwritten_;
  }

private:
  struct Entry {
    std::size_t Bytes_ = 0;
    Stage Stage_ = Stage::Reading;
    TimePoint BegunAt_{};
  };

  /// Returns the holder of the oldest request that is still being read and
  /// takes much, or nullptr.
  Holder *oldestReading() const;

  IntakeLimits Limits_;
  std::size_t HeldBytes_ = 0;
  std::shared_ptr<UnwrittenTotal> Unwritten_ =
      std::make_shared<UnwrittenTotal>();
  std::unordered_map<Holder *, Entry> Entries_;
};

} // namespace laburnum
