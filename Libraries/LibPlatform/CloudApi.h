#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibModel/BackendServer.h>
#include <LibModel/ReclaimNotice.h>

#include <cstdint>
#include <vector>

namespace laburnum {

/// Notices numbered in the order in which the cloud gave them.
struct NoticeBatch {
  std::uint64_t Next_ = 0; ///< Ask from here next.
  std::vector<ReclaimNotice> Notices_;

  auto operator<=>(NoticeBatch const &) const = default;
};

enum class Tenure { Reclaimable, OnDemand };

/// An order to start an instance. The same OrderId_ starts one instance only.
struct StartOrder {
  std::string OrderId_;
  ServiceName Service_;
  DataCentre DataCentre_;
  Tenure Tenure_ = Tenure::Reclaimable;

  auto operator<=>(StartOrder const &) const = default;
};

/// The platform's cloud API.
class CloudApi {
public:
  virtual ~CloudApi() = default;

  /// Waits up to Wait for reclaim notices numbered From or above.
  virtual Result<NoticeBatch> notices(std::uint64_t From, Duration Wait) = 0;

  /// Refusal for lack of capacity is ResourceExhausted.
  virtual Result<ServerId> start(StartOrder const &Order, Duration Timeout) = 0;

  virtual Result<Success> stop(ServerId const &Id, Duration Timeout) = 0;
};

} // namespace laburnum
