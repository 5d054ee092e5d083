#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <compare>

namespace laburnum {

/// The cloud's notice that it will reclaim an instance.
struct ReclaimNotice {
  std::string InstanceName_; ///< ServerId or InstanceId, as in the listing.
  DataCentre DataCentre_;
  /// Time from receipt until the instance is gone; negative when it has passed.
  Duration Remaining_{};

  auto operator<=>(ReclaimNotice const &) const = default;
};

} // namespace laburnum
