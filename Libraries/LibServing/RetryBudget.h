#pragma once

#include <LibModel/Configuration.h>
#include <LibServing/ServerChooser.h>

#include <map>
#include <memory>
#include <mutex>

namespace laburnum {

/// One token bucket per service. Each request adds Service::RetryBudget_
/// tokens and a retry takes one; a small flow of tokens in time lets a service
/// with few requests retry at all. Safe to call from several threads.
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
