#pragma once

#include <LibCore/Time.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>

namespace laburnum {

/// Counts requests in progress, so that a planned stop waits for them. Closing
/// goes in two steps: first the instance only reports itself unready, so that
/// the platform's balancer turns callers away from it, then it refuses.
class DrainGate {
public:
  /// Held while a request is in progress.
  class Pass {
  public:
    explicit Pass(DrainGate &Owner) : Owner_(&Owner) {}
    Pass(Pass &&Other) noexcept;
    Pass &operator=(Pass &&) = delete;
    ~Pass();

  private:
    DrainGate *Owner_;
  };

  /// Nothing once the gate refuses.
  std::optional<Pass> enter();

  bool isReady() const;
  void setUnready();
  void close();
  std::uint32_t inProgress() const;
  /// Waits until no request is in progress; false when Limit passed first.
  bool waitUntilEmpty(Duration Limit);

private:
  void leave();

  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  std::uint32_t InProgress_ = 0;
  bool IsReady_ = true;
  bool IsClosed_ = false;
};

} // namespace laburnum
