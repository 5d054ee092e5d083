#pragma once

#include <LibTraffic/RouteTable.h>

#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace laburnum {

/// The requests of a host whose paths begin with a prefix.
struct RouteRegion {
  std::string Host_; ///< In lower case, without a port.
  std::string PathPrefix_;

  auto operator<=>(RouteRegion const &) const = default;
};

/// The regions whose requests were led to other services, with the time of day
/// when that was last noticed, up to a version of the configuration.
struct MovedRoutes {
  std::uint64_t ConfigurationVersion_ = 0;
  std::map<RouteRegion, Duration> Regions_;
  /// When it was last noticed that moves before are not known.
  std::optional<Duration> UnknownAt_ = std::nullopt;

  auto operator<=>(MovedRoutes const &) const = default;
};

/// Which requests a configuration has led to other services recently. A stream
/// that a client takes up there may have begun at a service that its route no
/// longer leads to, or leads to in other proportions. Times are times of day,
/// since what is known of moved routes outlives the processes.
class RouteMoves {
public:
  /// After this time no client waits for a stream that began before the move.
  static constexpr std::chrono::seconds RetentionTime{30};

  /// Sets the routes that are in force here.
  void setTable(std::shared_ptr<RouteTable const> Table, Duration TimeOfDay);
  /// Adds what another instance or an earlier incarnation has recorded.
  void merge(MovedRoutes const &Recorded, Duration TimeOfDay);

  MovedRoutes const &moved() const { return Moved_; }
  /// Returns whether the request may have led to another service recently.
  bool hasMoved(std::string_view Host, std::string_view Target,
                Duration TimeOfDay) const;
  bool hasAnyMoved(Duration TimeOfDay) const;
  /// Returns whether a version is recorded that is not in force here yet.
  bool isTableOutdated() const;

private:
  /// Whether moves that are not known may be recent.
  bool isUnknown(Duration TimeOfDay) const;
  /// Moves between the recorded version and the first one that this instance
  /// has seen are not known.
  void noteUnseen(std::uint64_t RecordedVersion, Duration TimeOfDay);
  /// Notes what moves when the newer table takes effect.
  void compare(RouteTable const &Newer, Duration TimeOfDay);
  /// Returns when requests like this one were last led to another service, if
  /// that is known.
  std::optional<Duration> movedAt(std::string_view Host,
                                  std::string_view Target) const;
  void forgetOld(Duration TimeOfDay);

  std::shared_ptr<RouteTable const> Table_;
  std::uint64_t FirstVersion_ = 0;  ///< Of the first table.
  std::uint64_t NewestVersion_ = 0; ///< Of any that is recorded.
  MovedRoutes Moved_;
  bool HasNotedUnseen_ = false; ///< In UnknownAt_.
};

} // namespace laburnum
