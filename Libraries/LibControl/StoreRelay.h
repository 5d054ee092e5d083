#pragma once

#include <LibControl/BroadcastTree.h>
#include <LibControl/CollectionState.h>
#include <LibCore/Result.h>
#include <LibFleet/Member.h>
#include <LibFleet/SendToPeer.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace laburnum {

namespace relay {

/// Results of the reads that the relay requested.
struct Listed {
  ObjectList List_;
};
struct Watched {
  WatchBatch Batch_;
};
struct ReadFailed {
  Error Reason_;
};

using ReadOutcome = std::variant<Listed, Watched, ReadFailed>;

/// Action: read the whole collection from the store.
struct ListCollection {
  std::string Collection_;

  auto operator<=>(ListCollection const &) const = default;
};
/// Action: wait for changes of the collection after From_, at most Wait_.
struct WatchCollection {
  std::string Collection_;
  Version From_ = 0;
  Duration Wait_{};

  auto operator<=>(WatchCollection const &) const = default;
};
/// The collection consists of exactly the objects in All_.
struct CollectionReplaced {
  std::string Collection_;
  ObjectList All_;

  auto operator<=>(CollectionReplaced const &) const = default;
};
struct CollectionChanged {
  std::string Collection_;
  WatchBatch Changes_;

  auto operator<=>(CollectionChanged const &) const = default;
};
/// The local copy was confirmed to be the store's latest state.
struct CollectionConfirmed {
  std::string Collection_;
  Version Version_ = 0;

  auto operator<=>(CollectionConfirmed const &) const = default;
};
/// The store stopped answering this instance, or answers again.
struct StoreLost {
  std::string Collection_;
  Error Reason_;

  auto operator<=>(StoreLost const &) const = default;
};
struct StoreRegained {
  std::string Collection_;

  auto operator<=>(StoreRegained const &) const = default;
};

/// Whether this instance reads the store, and why.
enum class ReaderRole {
  None,     ///< It relies on updates from other readers.
  Ranked,   ///< It is one of the few that read for all instances.
  Fallback, ///< Its local copy became stale without updates from others.
};

struct ReaderRoleChanged {
  ReaderRole ReaderRole_ = ReaderRole::None;
  Duration UpdateAge_{}; ///< Since an update last confirmed the local copy.
  std::size_t Live_ = 0;

  auto operator<=>(ReaderRoleChanged const &) const = default;
};

using Action =
    std::variant<SendToPeer, ListCollection, WatchCollection,
                 CollectionReplaced, CollectionChanged, CollectionConfirmed,
                 StoreLost, StoreRegained, ReaderRoleChanged>;

struct Settings {
  EntryInstance Self_;
  std::vector<std::string> Collections_;
  std::uint64_t Seed_ = 0;
};

} // namespace relay

/// Distributes collections of the store to all instances while only a few of
/// them read it. The first instances in rendezvous order watch the store; each
/// broadcasts every change along its own tree, and twice a second a keep-alive
/// that confirms the current state. An instance that receives neither within
/// its timeout reads the store itself and broadcasts what it reads until it
/// receives updates again. The timeout grows with the rank in that order, so
/// that only a few others start reading first when the readers are lost.
class StoreRelay {
public:
  explicit StoreRelay(relay::Settings Settings);

  /// To be called at least ten times a second.
  std::vector<relay::Action> tick(TimePoint Now);
  std::vector<relay::Action> onRead(std::string const &Collection,
                                    relay::ReadOutcome const &Outcome,
                                    TimePoint Now);
  std::vector<relay::Action> onStoreUpdate(StoreUpdate const &Update,
                                           TimePoint Now);
  std::vector<relay::Action> onRequest(SnapshotRequest const &Request,
                                       TimePoint Now);
  std::vector<relay::Action> setMembers(std::vector<Member> const &Members,
                                        TimePoint Now);

  relay::ReaderRole readerRole() const { return ReaderRole_; }

private:
  struct FollowedCollection {
    explicit FollowedCollection(std::string Collection)
        : State_(std::move(Collection)) {}

    CollectionState State_;
    /// When State_ was last known to be the store's latest by a local read.
    std::optional<TimePoint> LocallyReadAt_;
    /// The same according to each origin's last update.
    std::map<InstanceId, TimePoint> ReportedAt_;
    bool IsReadPending_ = false; ///< A read of the store is in progress.
    bool NeedsList_ = true;
    std::optional<TimePoint> WatchStartedAt_; ///< Start of the open watch.
    Version WatchFrom_ = 0;
    TimePoint NotBefore_ =
        TimePoint::min(); ///< Earliest time of the next read.
    /// Until then the next watch is left to the first reader, as long as its
    /// updates arrive.
    TimePoint DeferredUntil_ = TimePoint::min();
    std::uint32_t Failures_ = 0;                 ///< In a row.
    TimePoint NextRequestAt_ = TimePoint::min(); ///< For the whole collection.

    std::optional<TimePoint> reportedAt() const;
  };

  FollowedCollection *find(std::string const &Collection);
  void listed(FollowedCollection &Entry, ObjectList const &List);
  void watched(FollowedCollection &Entry, WatchBatch const &Batch);
  void failed(FollowedCollection &Entry, Error const &Reason);
  void succeeded(FollowedCollection &Entry);
  /// Returns false if the update could not be applied because of a gap.
  bool apply(FollowedCollection &Entry, CollectionUpdate const &Update);
  void confirm(FollowedCollection &Entry);
  /// When the collection was last confirmed, by a local read or by an update.
  std::optional<TimePoint> confirmedAt(FollowedCollection const &Entry) const;
  /// When the local copy was last verified to be the store's latest state by a
  /// local read.
  std::optional<TimePoint> verifiedAt(FollowedCollection const &Entry) const;

  void updateReaderRole();
  std::optional<TimePoint> oldestReportAt() const;
  bool hasEnoughOtherReaders() const;
  bool hasStartTimeoutPassed() const;
  bool isStale(Duration UpdateAge);
  void read();
  void sendKeepAlive();
  void publish(std::vector<CollectionUpdate> Update);
  void forward(StoreUpdate const &Update);
  void send(Endpoint const &To, StoreUpdate Update);
  void requestSnapshot(FollowedCollection &Entry, Endpoint const &To);
  void requestMissing();
  std::vector<relay::Action> take();

  relay::Settings Settings_;
  std::mt19937_64 Generator_;
  std::vector<FollowedCollection> FollowedCollections_;
  std::vector<EntryInstance> Live_;  ///< This instance included.
  std::size_t Rank_ = 0;             ///< In the rendezvous order of readers.
  std::set<Endpoint> RankedReaders_; ///< Those that read for all.
  relay::ReaderRole ReaderRole_ = relay::ReaderRole::None;
  std::optional<TimePoint> StartedAt_;
  std::optional<TimePoint> PeersKnownAt_;
  double StartJitter_ = 0.0; ///< Random fraction of the added start timeout.
  std::optional<TimePoint> StaleSince_;
  std::optional<TimePoint> FallbackUntil_;
  std::optional<TimePoint> LastTick_;
  TimePoint NextKeepAlive_ = TimePoint::min();
  /// Whether the instances that rely on this reader have yet to be notified
  /// that it lost the store.
  bool OwesLossNotice_ = false;
  TimePoint NextRequestAt_ = TimePoint::min();
  std::uint64_t Number_ = 0;
  BroadcastTree Tree_;
  TimePoint Now_;
  std::vector<relay::Action> Actions_;
};

} // namespace laburnum
