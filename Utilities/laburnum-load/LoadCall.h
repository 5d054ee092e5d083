#pragma once

#include "LoadPlan.h"

#include <cstdint>
#include <httplib.h>
#include <optional>
#include <string>

namespace laburnum {

/// What one call met; times are counted from its planned start.
struct CallOutcome {
  LoadKind Kind_ = LoadKind::Plain;
  std::int32_t Status_ = 0; ///< 0: no answer.
  std::string RunState_;    ///< As a failure's JSON says.
  bool IsWhole_ = false;
  std::uint32_t Tokens_ = 0;
  std::optional<Duration> First_; ///< First token.
  Duration Whole_{};              ///< End of the answer.

  auto operator<=>(CallOutcome const &) const = default;
};

/// Makes one call and waits for its end. A completion is whole when its stream
/// ends with [DONE]; a plain answer when it is a 2xx with its whole body.
CallOutcome makeCall(httplib::Client &Client, LoadSettings const &Settings,
                     PlannedCall const &Call, TimePoint PlannedStart);

} // namespace laburnum
