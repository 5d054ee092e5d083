#pragma once

#include <LibTraffic/ExchangeFlow.h>

#include <deque>
#include <map>

namespace laburnum {

/// Bounds of the retries that a service receives from all instances.
struct RetryBudgetSettings {
  double Ratio_ = 0.1; ///< Retries per client request.
  double Slack_ = 0.0; ///< Additional retries per window over all instances.
  Duration Window_ = std::chrono::seconds(10);

  auto operator<=>(RetryBudgetSettings const &) const = default;
};

/// Limits this instance's retries, in every sliding window, to its requests
/// times the ratio plus its share of the slack. The total over all instances is
/// then bounded without coordination.
class WindowedRetryBudget : public exchange::RetryGate {
public:
  explicit WindowedRetryBudget(RetryBudgetSettings Settings)
      : Settings_(Settings) {}

  void setBounds(RetryBudgetSettings Settings) { Settings_ = Settings; }
  /// Sets the share of the slack that this instance may use, 0 to 1.
  void setShare(double Share) { Share_ = Share; }
  void countRequest(ServiceName const &Service, TimePoint Now);
  bool tryTake(ServiceName const &Service, TimePoint Now) override;

private:
  struct Window {
    std::deque<TimePoint> Requests_;
    std::deque<TimePoint> Retries_;
  };

  Window &prune(ServiceName const &Service, TimePoint Now);

  RetryBudgetSettings Settings_;
  double Share_ = 0.0;
  std::map<ServiceName, Window> Windows_;
};

} // namespace laburnum
