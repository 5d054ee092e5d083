#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibPeer/Rollouts.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// Decides which requests of this instance go to a software version that is
/// being rolled out. As each instance keeps to the share by itself, all of them
/// together do, whoever can reach whom. Without news of the share for
/// Validity, no request goes to that version.
class VersionShares {
public:
  static constexpr Duration Validity = std::chrono::seconds(2);

  /// Sets the versions of services that orders name. Until a share is known,
  /// they get nothing.
  void setTargets(std::map<ServiceName, std::string> Targets);
  /// Takes in the shares that the lease's holder sends. Those of an earlier
  /// holder are ignored.
  void onShares(RolloutShares const &Received, TimePoint Now);

  /// The version that a request may use, and whether it may use no other.
  struct Choice {
    std::string Target_;
    enum class Use { Target, Others } Use_ = Use::Others;

    auto operator<=>(Choice const &) const = default;
  };
  /// Returns nothing if the service has no roll-out. To be called once for each
  /// request.
  std::optional<Choice> choose(ServiceName const &Service, TimePoint Now);
  /// A request that was to use the target has used another version.
  void returnCredit(ServiceName const &Service);
  bool isActive(ServiceName const &Service) const {
    return Services_.contains(Service);
  }

private:
  struct Service {
    std::string Target_;
    double Share_ = 0.0;
    TimePoint ReceivedAt_ = TimePoint::min();
    /// Requests that may go to the target; grows by the share with each one.
    double Credit_ = 0.0;
  };

  std::map<ServiceName, Service> Services_;
  std::uint64_t Fence_ = 0;
};

} // namespace laburnum
