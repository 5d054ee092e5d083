#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/AsyncObjectStore.h>
#include <LibTraffic/RouteMoves.h>
#include <LibTraffic/SoftwareVersions.h>
#include <LibTraffic/StreamOrigins.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum {

/// What determined the origin of a stream that a client takes up, or why it is
/// not known.
enum class OriginSource {
  OnlyVersion, ///< No other software version has served recently.
  Record,      ///< An instance has recorded it.
  NotRecorded, ///< No instance has.
  StoreSilent, ///< The store cannot be read, and several versions may serve.
};

/// The name in logs.
std::string_view toString(OriginSource Source);

struct OriginAnswer {
  std::optional<StreamOrigin> Origin_;
  OriginSource Source_ = OriginSource::NotRecorded;

  auto operator<=>(OriginAnswer const &) const = default;
};

/// A stream that a client takes up.
struct StreamTakeUp {
  ServiceName Service_; ///< To which the client's request leads now.
  std::string Host_;    ///< Of the request.
  std::string Target_;  ///< Of the request.
  std::string FirstAttemptId_;

  auto operator<=>(StreamTakeUp const &) const = default;
};

/// Keeps in the store what instances have to know of streams that others began:
/// which software versions serve or have served recently, and which routes were
/// led to other services, in two objects that the readers of the server list
/// keep, and, only while a stream's origin does not follow from these, the
/// origins of each instance's unfinished streams. An instance that begins
/// streams after a move records the move if no reader has. So nothing is
/// written for streams while one version serves, and a stream that is taken up
/// costs one read. Runs on one thread.
class StreamOriginRecords
    : public std::enable_shared_from_this<StreamOriginRecords> {
public:
  using Done = std::function<void(OriginAnswer const &)>;
  enum class HistoryRole { Reads, Keeps };
  /// Whether this instance reaches most others, and so would hear of other
  /// software versions from those that can read the store.
  enum class PeerReach { Few, Most };
  /// Whether the server list of this instance was confirmed recently.
  enum class ListAge { Current, Outdated };
  /// Reads the store's latest server list; nothing if that fails.
  using ServerListDone =
      std::function<void(std::optional<std::vector<ServerRecord>> const &)>;
  using ServerListReader =
      std::function<void(Duration Timeout, ServerListDone)>;

  /// The store has to outlive the records. Name is the instance's name, which
  /// its later incarnations keep.
  StreamOriginRecords(AsyncObjectStore &Store, std::string Name,
                      ServerListReader ReadServerList)
      : Store_(Store), Name_(std::move(Name)),
        ReadServerList_(std::move(ReadServerList)) {}

  void setListed(std::vector<ServerRecord> const &Servers, Duration TimeOfDay,
                 TimePoint Now);
  /// Sets the routes that are in force.
  void setTable(std::shared_ptr<RouteTable const> Table, Duration TimeOfDay,
                TimePoint Now);
  void setHistoryRole(HistoryRole Role, Duration TimeOfDay, TimePoint Now);
  /// Live is the number of instances, which share the writes.
  void setPeers(PeerReach Reach, std::size_t Live);
  void setListAge(ListAge Age) { ListAge_ = Age; }
  /// The store came back from an older copy.
  void onStoreRestored(Duration TimeOfDay, TimePoint Now);

  /// Returns whether origins have to be recorded.
  bool isMixed(Duration TimeOfDay) const {
    return Versions_.isMixed(TimeOfDay) || Moves_.hasAnyMoved(TimeOfDay);
  }
  /// Sets the unfinished streams of this instance, after another one has begun.
  void setUnfinished(std::vector<BegunStream> Streams, Duration TimeOfDay,
                     TimePoint Now);
  /// Finds the origin of a stream that this instance does not know. Without an
  /// identifier it is known only where one software version serves.
  void find(StreamTakeUp Wanted, Duration TimeOfDay, TimePoint Now, Done Done);
  /// Starts the calls that are due. To be called twenty times a second while
  /// isBusy().
  void tick(Duration TimeOfDay, TimePoint Now);
  bool isBusy(Duration TimeOfDay) const;

private:
  using Origins = std::map<std::string, StreamOrigin>;

  struct Query {
    StreamTakeUp Wanted_;
    Done Done_;
    TimePoint NotBefore_ = TimePoint::min();
    bool IsRepeated_ = false;
  };

  void setTime(Duration TimeOfDay, TimePoint Now);
  void readHistory(Duration Timeout,
                   std::function<void(bool IsRead)> const &Then);
  bool areVersionsOutdated() const;
  bool areMovesOutdated() const;
  bool isHistoryOutdated() const {
    return areVersionsOutdated() || areMovesOutdated();
  }
  /// Whether a recent move is missing from the record although this instance
  /// has unfinished streams. Those who keep the history may not have seen the
  /// configuration.
  bool owesMoves(Duration TimeOfDay) const;
  bool owesHistory(Duration TimeOfDay) const;
  void updateHistory();
  void writeVersions();
  void writeMoves();
  void onHistoryWritten(Result<Version> const &Written);
  void search();
  /// Continues a search after the history was read.
  void decide(std::vector<Query> Queries);
  void refuse(std::vector<Query> const &Queries);
  void searchRecords(std::vector<Query> Queries);
  void endSearch();
  /// Answers the queries that the versions alone decide and returns the others.
  std::vector<Query> answerByVersions(std::vector<Query> Queries);
  Duration recordPeriod() const;
  bool isRecordOutdated() const;
  void writeStreams();
  void putStreams();

  AsyncObjectStore &Store_;
  std::string const Name_;
  ServerListReader const ReadServerList_;
  Duration TimeOfDay_{};
  TimePoint Now_{};
  SoftwareVersions Versions_;
  RouteMoves Moves_;
  bool IsListed_ = false;
  HistoryRole HistoryRole_ = HistoryRole::Reads;
  PeerReach Reach_ = PeerReach::Few;
  ListAge ListAge_ = ListAge::Current;
  std::size_t Live_ = 1;
  /// What the store holds, once it was read.
  struct RecordedHistory {
    VersionHistory Versions_;
    Version VersionsVersion_ = 0; ///< Of the object.
    MovedRoutes Moves_;
    Version MovesVersion_ = 0; ///< Of the object.
  };
  std::optional<RecordedHistory> Recorded_;
  bool WasHistoryRead_ = false; ///< At least once.
  bool IsHistoryCallOpen_ = false;
  TimePoint NextHistoryCallAt_ = TimePoint::min();
  std::vector<Query> Queries_;
  std::vector<Query> DelayedQueries_;
  bool IsSearching_ = false;
  Origins Unfinished_;
  /// Recorded by an earlier incarnation of this instance.
  std::optional<Origins> Inherited_;
  TimePoint InheritedUntil_{};
  Origins Written_;
  bool IsStreamCallOpen_ = false;
  TimePoint NextStreamCallAt_ = TimePoint::min();
};

} // namespace laburnum
