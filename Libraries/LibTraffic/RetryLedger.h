#pragma once

#include <LibTraffic/ExchangeFlow.h>

#include <deque>
#include <map>

namespace laburnum {

/// How many sends beyond the first a service may get from all instances.
struct RetryBounds {
  double Ratio_ = 0.1; ///< Per request of clients.
  double Slack_ = 0.0; ///< Beside that, in each window, over all instances.
  Duration Window_ = std::chrono::seconds(10);

  auto operator<=>(RetryBounds const &) const = default;
};

/// Holds this instance's sends beyond the first to its own requests times the
/// ratio and to its part of the slack, in every window. The sum over instances
/// then keeps the bound whatever the others do.
class RetryLedger : public exchange::RetryPermit {
public:
  explicit RetryLedger(RetryBounds Bounds) : Bounds_(Bounds) {}

  void setBounds(RetryBounds Bounds) { Bounds_ = Bounds; }
  /// The part of the slack that this instance may use, 0 to 1.
  void setShare(double Share) { Share_ = Share; }
  void countRequest(ServiceName const &Service, TimePoint Now);
  bool tryTake(ServiceName const &Service, TimePoint Now) override;

private:
  struct Window {
    std::deque<TimePoint> Requests_;
    std::deque<TimePoint> Retries_;
  };

  Window &prune(ServiceName const &Service, TimePoint Now);

  RetryBounds Bounds_;
  double Share_ = 0.0;
  std::map<ServiceName, Window> Windows_;
};

} // namespace laburnum
