#pragma once

#include <LibControl/OriginHistory.h>
#include <LibCore/Time.h>
#include <LibPlatform/AsyncObjectStore.h>
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
  OnlyVersion, ///< The store knows of no other that has served recently.
  Record,      ///< An instance has recorded it.
  NotRecorded, ///< No instance has.
  StoreSilent, ///< The store cannot be read.
  Copy,        ///< Another instance holds a copy of it.
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

/// Finds the origins of streams that other instances began. While several
/// software versions of a service serve, or routes have moved, instances record
/// the origins of their unfinished streams in the store. Otherwise the history
/// in the store tells the only one. So nothing is written for streams while one
/// version serves, and a stream that is taken up costs one read, which is newer
/// than the stream. Runs on one thread.
class StreamOriginRecords
    : public std::enable_shared_from_this<StreamOriginRecords> {
public:
  using Done = std::function<void(OriginAnswer const &)>;

  /// The store has to outlive the records. Name is the instance's name, which
  /// its later incarnations keep.
  StreamOriginRecords(AsyncObjectStore &Store, std::string const &Name)
      : Store_(Store), Name_(Name),
        History_(std::make_shared<OriginHistory>(Store, Name)) {}

  void setListed(std::vector<ServerRecord> const &Servers, Duration TimeOfDay,
                 TimePoint Now);
  /// Sets the routes that are in force.
  void setTable(std::shared_ptr<RouteTable const> Table, Duration TimeOfDay,
                TimePoint Now);
  void setHistoryRole(OriginHistory::Role Role, Duration TimeOfDay,
                      TimePoint Now);
  /// Live is the number of instances, which share the writes.
  void setLive(std::size_t Live);
  /// The store came back from an older copy.
  void onStoreRestored(Duration TimeOfDay, TimePoint Now);
  /// A server of the service is about to begin a stream and does not identify
  /// itself.
  void onUnidentified(ServiceName const &Service, Duration TimeOfDay,
                      TimePoint Now);
  /// Streams of this instance wait for a move to be recorded.
  void onStreamsWait(Duration TimeOfDay, TimePoint Now);
  /// The history as it was received from another instance.
  void onHistoryListed(ObjectList const &Listed, Duration TimeOfDay,
                       TimePoint Now);
  void onHistoryChanged(std::vector<StoredObject> const &Objects,
                        Duration TimeOfDay, TimePoint Now);
  /// Sets the listener for where streams may begin.
  void setListener(OriginHistory::Listener Listener) {
    History_->setListener(std::move(Listener));
  }

  /// Returns whether origins have to be recorded.
  bool isMixed(Duration TimeOfDay) const {
    return History_->isMixed(TimeOfDay);
  }
  /// Sets the unfinished streams of this instance, after another one has begun.
  void setUnfinished(std::vector<BegunStream> Streams, Duration TimeOfDay,
                     TimePoint Now);
  /// Finds the origin of a stream that this instance does not know. Without an
  /// identifier it is known only where one software version serves.
  void find(StreamTakeUp Wanted, Duration TimeOfDay, TimePoint Now, Done Done);
  /// Returns the versions of the service that are known, for logging.
  std::string versionsOf(ServiceName const &Service) const {
    return History_->versionsOf(Service);
  }
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
  void search();
  void refuse(std::vector<Query> const &Queries);
  void searchRecords(std::vector<Query> Queries);
  void endSearch();
  /// Answers the queries that the history alone decides and returns the others.
  std::vector<Query> answerByHistory(std::vector<Query> Queries);
  Duration recordPeriod() const;
  bool isRecordOutdated() const;
  void writeStreams();
  void putStreams();
  void onStreamCallFailed();

  AsyncObjectStore &Store_;
  std::string const Name_;
  std::shared_ptr<OriginHistory> History_;
  Duration TimeOfDay_{};
  TimePoint Now_{};
  std::size_t Live_ = 1;
  bool DoStreamsWait_ = false;
  std::vector<Query> Queries_;
  std::vector<Query> DelayedQueries_;
  bool IsSearching_ = false;
  Origins Unfinished_;
  /// Recorded by an earlier incarnation of this instance.
  std::optional<Origins> Inherited_;
  TimePoint InheritedUntil_{};
  Origins Written_;
  bool IsStreamCallOpen_ = false;
  std::uint32_t Failures_ = 0; ///< Since the last successful write.
  TimePoint NextStreamCallAt_ = TimePoint::min();
};

} // namespace laburnum
