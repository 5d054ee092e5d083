#pragma once

#include <LibPlatform/CloudApi.h>
#include <LibPlatform/PlatformConnection.h>

namespace laburnum {

/// The platform's cloud API over HTTP. Errors: Unavailable (nothing took
/// effect), ResourceExhausted (no capacity, or above the rate) and, of start
/// and stop, OutcomeUnknown: both may be sent again, since an order starts one
/// instance only. Several threads may call at once.
class HttpCloudApi : public CloudApi {
public:
  /// Connection outlives this object.
  explicit HttpCloudApi(PlatformConnection &Connection)
      : Connection_(Connection) {}

  /// Blocks up to AnswerAllowance longer than Wait.
  Result<NoticeBatch> notices(std::uint64_t From, Duration Wait) override;
  Result<ServerId> start(StartOrder const &Order, Duration Timeout) override;
  Result<Success> stop(ServerId const &Id, Duration Timeout) override;

private:
  PlatformConnection &Connection_;
};

} // namespace laburnum
