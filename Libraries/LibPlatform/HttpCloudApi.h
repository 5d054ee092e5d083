#pragma once

#include <LibPlatform/CloudApi.h>
#include <LibPlatform/PlatformConnection.h>

namespace laburnum {

/// The platform's cloud API over HTTP. Errors: Unavailable (nothing took
/// effect), ResourceExhausted (no capacity, or above the rate limit) and, of
/// start and stop, OutcomeUnknown. Both are idempotent and may be repeated.
/// Thread-safe.
class HttpCloudApi : public CloudApi {
public:
  /// Connection must outlive this object.
  explicit HttpCloudApi(PlatformConnection &Connection)
      : Connection_(Connection) {}

  /// Blocks for at most Wait plus AnswerAllowance.
  Result<NoticeBatch> notices(std::uint64_t From, Duration Wait) override;
  Result<ServerId> start(StartOrder const &Order, Duration Timeout) override;
  Result<Success> stop(ServerId const &Id, Duration Timeout) override;

private:
  PlatformConnection &Connection_;
};

} // namespace laburnum
