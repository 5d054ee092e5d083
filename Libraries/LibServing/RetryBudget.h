#pragma once

#include <LibModel/Configuration.h>
#include <LibServing/ServerChooser.h>

#include <map>
#include <memory>
#include <mutex>

namespace laburnum {

/// A retry budget with one token bucket per service. Each request adds
/// Service::RetryBudget_ tokens and a retry takes one; a small refill over time
/// permits retries for services with few requests. Thread-safe.
class RetryBudget : public RetryAllowance {
public:
  void setSnapshot(std::shared_ptr<Configuration const> Snapshot);

  void countRequest(ServiceName const &Service, TimePoint Now) override;
  bool tryTake(ServiceName const &Service, TimePoint Now) override;

private:
  struct Bucket {
    double Tokens_;
    TimePoint Filled_;
  };

  Bucket &fill(ServiceName const &Service, TimePoint Now);

  std::mutex Mutex_;
  std::shared_ptr<Configuration const> Snapshot_ =
      std::make_shared<Configuration const>();
  std::map<ServiceName, Bucket> Buckets_;
};

} // namespace laburnum
