#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <compare>

namespace laburnum {

/// The cloud's word that it takes an instance back.
struct ReclaimNotice {
  std::string InstanceName_; ///< ServerId or InstanceId, as in the list.
  DataCentre DataCentre_;
  /// Until the instance is gone, when received; negative when that is over.
  Duration Remaining_{};

  auto operator<=>(ReclaimNotice const &) const = default;
};

} // namespace laburnum
