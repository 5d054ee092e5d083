#include <LibRecovery/OwnedStream.h>

namespace laburnum::streams {

std::optional<Duration> OwnedStream::expectedRemaining(TimePoint Now) const {
  auto const Produced = Stream_.count() - ResumedAt_;
  if (Produced == 0)
    return std::nullopt;
  if (Stream_.count() >= Stream_.Content_.MaxTokens_)
    return Duration::zero();
  auto const Missing = Stream_.Content_.MaxTokens_ - Stream_.count();
  return (Now - Resumed_) * static_cast<std::int64_t>(Missing) /
         static_cast<std::int64_t>(Produced);
}

} // namespace laburnum::streams
