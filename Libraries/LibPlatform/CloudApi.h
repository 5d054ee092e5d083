#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibModel/BackendServer.h>
#include <LibModel/ReclaimNotice.h>

#include <cstdint>
#include <vector>

namespace laburnum {

/// Reclaim notices, numbered in the order in which the cloud issued them.
struct NoticeBatch {
  std::uint64_t Next_ = 0; ///< From of the next call of notices().
  std::vector<ReclaimNotice> Notices_;

  auto operator<=>(NoticeBatch const &) const = default;
};

enum class CapacityType { Reclaimable, OnDemand };

/// An order to start a backend server. Idempotent: repeated orders with the
/// same OrderId_ start one only.
struct StartOrder {
  std::string OrderId_;
  ServiceName Service_;
  DataCentre DataCentre_;
  CapacityType CapacityType_ = CapacityType::Reclaimable;

  auto operator<=>(StartOrder const &) const = default;
};

/// The platform's cloud API.
class CloudApi {
public:
  virtual ~CloudApi() = default;

  /// Waits up to Wait for reclaim notices numbered From or higher.
  virtual Result<NoticeBatch> notices(std::uint64_t From, Duration Wait) = 0;

  /// ResourceExhausted when the cloud lacks capacity.
  virtual Result<ServerId> start(StartOrder const &Order, Duration Timeout) = 0;

  virtual Result<Success> stop(ServerId const &Id, Duration Timeout) = 0;
};

} // namespace laburnum
