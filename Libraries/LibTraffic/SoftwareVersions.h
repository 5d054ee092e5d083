#pragma once

#include <LibTraffic/ServerRecord.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// The software versions of a service's servers, each with the time of day when
/// its last server left the list; nothing while one is listed.
using ServiceVersions = std::map<std::string, std::optional<Duration>>;
using VersionHistory = std::map<ServiceName, ServiceVersions>;

/// Which software versions serve, or have served until recently, at each
/// service. A stream of unknown origin has begun at one of them. Times are
/// times of day, since the history outlives the processes.
class SoftwareVersions {
public:
  /// After this time no client waits for a stream of a version that is gone.
  static constexpr std::chrono::seconds RetentionTime{30};

  /// Sets the servers that are listed.
  void setListed(std::vector<ServerRecord> const &Servers, Duration TimeOfDay);
  /// A stream is about to begin at a server of an unknown version. It counts as
  /// a version that has just left the list.
  void onUnidentified(ServiceName const &Service, Duration TimeOfDay);
  /// Adds what another instance or an earlier incarnation has recorded. A
  /// version that was listed then, and is not now, is taken as just gone.
  void merge(VersionHistory const &Recorded, Duration TimeOfDay);

  VersionHistory const &history() const { return History_; }
  /// Returns the version of all streams that a client may take up again, if it
  /// is the only one.
  std::optional<std::string> onlyVersion(ServiceName const &Service,
                                         Duration TimeOfDay) const;
  /// Returns whether a service's streams may have begun at several versions.
  bool isMixed(Duration TimeOfDay) const;

private:
  static bool isRecent(std::optional<Duration> const &LeftAt,
                       Duration TimeOfDay);
  void forgetOld(Duration TimeOfDay);

  VersionHistory History_;
};

} // namespace laburnum
