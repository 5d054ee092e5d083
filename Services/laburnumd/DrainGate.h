#pragma once

#include <LibCore/Time.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>

namespace laburnum {

/// Counts requests in progress so that a graceful stop can wait for them.
/// Closing has two phases: first the instance only reports itself as not ready,
/// so that the platform's load balancer routes callers elsewhere; then it
/// refuses new requests.
class DrainGate {
public:
  /// Held while a request is in progress.
  class ActiveRequest {
  public:
    explicit ActiveRequest(DrainGate &Owner) : Owner_(&Owner) {}
    ActiveRequest(ActiveRequest &&Other) noexcept;
    ActiveRequest &operator=(ActiveRequest &&) = delete;
    ~ActiveRequest();

  private:
    DrainGate *Owner_;
  };

  /// Returns nothing once the gate is closed.
  std::optional<ActiveRequest> enter();

  bool isReady() const;
  void setUnready();
  void close();
  std::uint32_t inProgress() const;
  /// Waits until no request is in progress; false if Timeout elapses first.
  bool waitUntilEmpty(Duration Timeout);

private:
  void leave();

  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  std::uint32_t InProgress_ = 0;
  bool IsReady_ = true;
  bool IsClosed_ = false;
};

} // namespace laburnum
