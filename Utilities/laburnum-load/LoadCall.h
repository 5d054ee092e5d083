#pragma once

#include "LoadPlan.h"

#include <cstdint>
#include <httplib.h>
#include <optional>
#include <string>

namespace laburnum {

/// The outcome of one call. Times are measured from its planned start.
struct CallOutcome {
  LoadKind Kind_ = LoadKind::Plain;
  std::int32_t Status_ = 0; ///< 0: no answer.
  std::string RunState_;    ///< From the error's JSON.
  bool IsComplete_ = false;
  std::uint32_t Tokens_ = 0;
  std::optional<Duration> FirstTokenTime_; ///< First token.
  Duration TotalTime_{};                   ///< End of the answer.

  auto operator<=>(CallOutcome const &) const = default;
};

/// Makes one call and waits until it ends. A completion is complete if its
/// stream ends with [DONE], a plain answer if it is a 2xx with its full body.
CallOutcome makeCall(httplib::Client &Client, LoadSettings const &Settings,
                     PlannedCall const &Call, TimePoint PlannedStart);

} // namespace laburnum
