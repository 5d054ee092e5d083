#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

/// Which part of a service's requests may go to a software version that is
/// being rolled out, in millionths.
struct RolloutShare {
  ServiceName Service_;
  std::string Target_; ///< Software version.
  std::uint32_t PartsPerMillion_ = 0;

  auto operator<=>(RolloutShare const &) const = default;
};

/// Sent by the holder of the lease to all instances a few times a second. A
/// share that is not renewed lapses.
struct RolloutShares {
  InstanceId Origin_;
  std::uint64_t Number_ = 0; ///< Increases with each message of the origin.
  /// The lease's fencing number; shares of a lower one are ignored.
  std::uint64_t Fence_ = 0;
  std::vector<RolloutShare> Shares_;

  auto operator<=>(RolloutShares const &) const = default;
};

/// Answers of one software version to the requests of a route, as one entry
/// instance has counted them since its start.
struct VersionAnswers {
  ServiceName Service_;
  std::string Version_;
  std::string Route_;
  std::uint64_t Answers_ = 0;
  std::uint64_t Failures_ = 0;
  /// Of the others, those that took several times as long as is usual.
  std::uint64_t Slow_ = 0;
  std::uint64_t Running_ = 0; ///< In progress.

  auto operator<=>(VersionAnswers const &) const = default;
};

/// Sent to the holder of the lease during a roll-out.
struct VersionReport {
  std::vector<VersionAnswers> Answers_;

  auto operator<=>(VersionReport const &) const = default;
};

} // namespace laburnum
