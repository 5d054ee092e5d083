#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/AsyncObjectStore.h>
#include <LibTraffic/RecordedOrigins.h>
#include <LibTraffic/RouteMoves.h>
#include <LibTraffic/SoftwareVersions.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laburnum {

/// Which software versions serve or have served recently, and which routes were
/// led to other services, in two objects of the store. Streams begin only where
/// these objects say so, so that a read of them tells where a stream that began
/// before may have begun. The readers of the server list keep them; other
/// instances write what a stream of theirs waits for. Runs on one thread.
class OriginHistory : public std::enable_shared_from_this<OriginHistory> {
public:
  enum class Role { Reads, Keeps };
  using Listener = std::function<void(RecordedOrigins const &)>;

  /// The store has to outlive the history. Name spreads the writes of
  /// instances over time.
  OriginHistory(AsyncObjectStore &Store, std::string Name)
      : Store_(Store), Name_(std::move(Name)) {}

  void setTime(Duration TimeOfDay, TimePoint Now);
  /// The following calls take effect at the time that was set last.
  void setListed(std::vector<ServerRecord> const &Servers);
  void setTable(std::shared_ptr<RouteTable const> Table);
  void setRole(Role Role);
  /// Live is the number of instances.
  void setLive(std::size_t Live) { Live_ = Live; }
  /// A server of the service is about to begin a stream and does not identify
  /// itself.
  void onUnidentified(ServiceName const &Service);
  /// Streams of this instance wait for a move to be recorded, or have begun.
  void setStreams(bool HasStreams);
  /// The history as another instance or this one has read it.
  void onListed(ObjectList const &Listed);
  void onChanged(std::vector<StoredObject> const &Objects);
  /// The store came back from an older copy.
  void onStoreRestored();

  /// Reads the store's latest state. Then tells whether that succeeded.
  void read(Duration Timeout, std::function<void(bool IsRead)> const &Then);
  /// Starts the calls that are due.
  void update();
  /// Whether calls are or become due.
  bool isBusy() const;
  /// Called with each change of what streams may rely on.
  void setListener(Listener Listener);

  /// Returns whether the origins of streams have to be recorded.
  bool isMixed(Duration TimeOfDay) const;
  /// Returns the origin of all streams of the service that requests for the
  /// host and target may have begun, if it is the only one.
  std::optional<StreamOrigin> onlyOrigin(ServiceName const &Service,
                                         std::string_view Host,
                                         std::string_view Target) const;
  /// Returns the versions of the service, joined by commas, for logging.
  std::string versionsOf(ServiceName const &Service) const;

private:
  /// What the store holds.
  struct Recorded {
    VersionHistory Versions_;
    Version VersionsVersion_ = 0; ///< Of the object.
    MovedRoutes Moves_;
    Version MovesVersion_ = 0; ///< Of the object.
  };

  static void apply(StoredObject const &Object, Recorded &Into);
  void onLastReadChanged();
  bool areVersionsOutdated() const;
  bool areMovesOutdated() const;
  bool lacksListed() const;
  bool lacksUnidentified() const;
  /// Whether a version that is listed here has been missing in the store for so
  /// long that the instances that keep the history may be unable to write it.
  bool isListedOverdue() const;
  bool owesMoves() const;
  bool owes() const;
  Duration pauseAfterFailure() const;
  VersionHistory versionsToWrite() const;
  void writeVersions();
  void writeMoves();
  void onWritten(Result<Version> const &Written);
  bool isStoreDistrusted() const { return Now_ < DistrustedUntil_; }
  RecordedOrigins recordedOrigins() const;
  void publish();

  AsyncObjectStore &Store_;
  std::string const Name_;
  Duration TimeOfDay_{};
  TimePoint Now_{};
  SoftwareVersions Versions_;
  RouteMoves Moves_;
  bool IsListed_ = false;
  Role Role_ = Role::Reads;
  std::size_t Live_ = 1;
  bool HasStreams_ = false;
  /// The base of the next conditional write; nothing if it may be outdated.
  std::optional<Recorded> Recorded_;
  Recorded LastRead_;           ///< What was read last.
  Version LastReadVersion_ = 0; ///< Of the store.
  bool WasRead_ = false;
  bool IsCallOpen_ = false;
  TimePoint NextCallAt_ = TimePoint::min();
  /// Since when a version that is listed here is missing in the store.
  std::optional<TimePoint> LacksListedSince_;
  /// Since when the store knows a later configuration than the one in force.
  std::optional<TimePoint> TableOutdatedSince_;
  /// The store may lack what it held when streams began.
  TimePoint DistrustedUntil_ = TimePoint::min();
  Listener Listener_;
  RecordedOrigins Published_;
};

} // namespace laburnum
