#pragma once

#include <LibCore/Time.h>
#include <LibPeer/Rollouts.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laburnum {

/// Counts the answers of the software versions of services by route, as
/// evidence of how good a version is. An answer that takes several times as
/// long as is usual on its route counts as slow.
class VersionTally {
public:
  /// Identifies what is counted together.
  struct Key {
    ServiceName Service_;
    std::string Version_;
    std::string Route_;

    auto operator<=>(Key const &) const = default;
  };
  enum class Result {
    Answered,
    Failed,
    Neither, ///< Refused, or ended for a reason of its client's.
  };

  void onSent(Key const &Of);
  /// Took is the time to the first byte of the answer.
  void onEnded(Key const &Of, Result Ended, Duration Took);
  /// The versions whose answers do not tell what is usual: those that are being
  /// rolled out.
  void setTargets(std::map<ServiceName, std::string> Targets) {
    Targets_ = std::move(Targets);
  }
  /// Returns the counts of the services that have a target.
  VersionReport report() const;

private:
  bool isTarget(Key const &Of) const;

  std::map<Key, VersionAnswers> Counts_;
  std::map<ServiceName, std::string> Targets_;
  /// Usual time of an answer, in seconds, by service and route.
  std::map<std::pair<ServiceName, std::string>, double> Usual_;
};

} // namespace laburnum
