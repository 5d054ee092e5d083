#pragma once

#include <LibCore/Time.h>
#include <LibFleet/Member.h>
#include <LibFleet/SendToPeer.h>
#include <LibModel/Configuration.h>
#include <LibPlatform/ObjectStore.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace laburnum {

namespace configuration {

/// The answer to ListCollection.
struct CollectionListed {
  ObjectKind Kind_ = ObjectKind::Service;
  ObjectList List_;
};
/// The answer to WatchCollection.
struct CollectionWatched {
  ObjectKind Kind_ = ObjectKind::Service;
  WatchBatch Batch_;
};
/// ListCollection or WatchCollection failed; it is retried after RetryDelay_.
struct PlatformFailed {
  ObjectKind Kind_ = ObjectKind::Service;
};
struct ObjectsFromPeer {
  ConfigurationObjects Message_;
};
struct DigestFromPeer {
  ConfigurationDigest Message_;
};
struct RequestFromPeer {
  ConfigurationRequest Message_;
};
/// A change that this instance wrote was accepted by the platform.
struct LocalChangeAccepted {
  ConfigurationObject Object_;
};
struct MembersChanged {
  std::vector<Member> Members_;
};
/// Sent at least five times a second.
struct TimePassed {};

using Event = std::variant<CollectionListed, CollectionWatched, PlatformFailed,
                           ObjectsFromPeer, DigestFromPeer, RequestFromPeer,
                           LocalChangeAccepted, MembersChanged, TimePassed>;

/// Read the whole collection toString(Kind_) from the platform.
struct ListCollection {
  ObjectKind Kind_ = ObjectKind::Service;

  auto operator<=>(ListCollection const &) const = default;
};
/// Wait for changes of the collection after From_.
struct WatchCollection {
  ObjectKind Kind_ = ObjectKind::Service;
  Version From_ = 0;

  auto operator<=>(WatchCollection const &) const = default;
};
/// Publish Snapshot_ to the traffic threads. Changed_ holds the objects
/// applied.
struct SnapshotChanged {
  std::shared_ptr<Configuration const> Snapshot_;
  std::vector<ConfigurationObject> Changed_;

  auto operator<=>(SnapshotChanged const &) const = default;
};
/// Alert the operators. The message says what was detected and what to do.
struct RaiseAlarm {
  std::string Message_;

  auto operator<=>(RaiseAlarm const &) const = default;
};

using Action = std::variant<SendToPeer, ListCollection, WatchCollection,
                            SnapshotChanged, RaiseAlarm>;

struct Settings {
  EntryInstance Self_;
  std::uint64_t Seed_ = 0;
  Duration DigestPeriod_ = std::chrono::seconds(2);
  Duration RetryDelay_ = std::chrono::seconds(1);
};

} // namespace configuration

/// Holds the configuration of one instance. It applies an object only at a
/// higher version, so that nothing reverts. The first two instances of a data
/// centre (in rendezvous order) watch the platform and forward updates along a
/// broadcast tree; a periodic exchange of digests with one random peer repairs
/// lost updates.
class ConfigurationStore {
public:
  explicit ConfigurationStore(configuration::Settings Settings);

  std::vector<configuration::Action> handle(configuration::Event const &Event,
                                            TimePoint Now);

  std::shared_ptr<Configuration const> snapshot() const { return Snapshot_; }
  /// The highest version of any object held.
  Version version() const;
  /// A hash of all (name, version) pairs, independent of their order.
  std::uint64_t digest() const { return Digest_; }
  /// nullptr if the object never existed. A deleted object is a tombstone.
  ConfigurationObject const *object(ObjectName const &Name) const;
  /// All objects held, tombstones included.
  std::map<ObjectName, ConfigurationObject> const &objects() const {
    return Objects_;
  }
  /// Whether this instance reads the platform itself.
  bool isWatcher() const;

private:
  /// The progress of reading one collection of the platform.
  struct Collection {
    std::optional<Version> From_; ///< Empty: list before watching.
    Version HighestSeen_ = 0;
    bool IsReadPending_ = false;
    TimePoint NotBefore_{};
    int ConsecutiveStaleReads_ = 0; ///< Answers older than what is held.
  };
  enum class Source { Platform, Peer };

  void on(configuration::CollectionListed const &Event);
  void on(configuration::CollectionWatched const &Event);
  void on(configuration::PlatformFailed const &Event);
  void on(configuration::ObjectsFromPeer const &Event);
  void on(configuration::DigestFromPeer const &Event);
  void on(configuration::RequestFromPeer const &Event);
  void on(configuration::LocalChangeAccepted const &Event);
  void on(configuration::MembersChanged const &Event);
  void on(configuration::TimePassed const &Event);

  void applyStored(ObjectKind Kind, std::vector<StoredObject> const &Objects);
  void apply(std::vector<ConfigurationObject> const &Objects, Source From);
  bool applyOne(ConfigurationObject const &Object);
  void forward(std::vector<ConfigurationObject> const &Updated, Source From);
  void sendObjects(Endpoint const &To,
                   std::vector<ConfigurationObject> const &Objects);
  void sendDigest();
  void sendRequest(Endpoint const &To);
  void readPlatform();
  bool isStoreBehind(ObjectKind Kind, Version StoreVersion);
  void continueReading(ObjectKind Kind, Version StoreVersion);
  void sendTo(EntryInstance const &Peer, PeerMessage const &Message);
  std::vector<EntryInstance> forwardTargets(Source From);
  Collection &collection(ObjectKind Kind);
  std::vector<EntryInstance> broadcastTreeOf(DataCentre const &Where) const;
  std::vector<EntryInstance> livePeers() const;
  EntryInstance const &randomOf(std::vector<EntryInstance> const &Choices);

  configuration::Settings Settings_;
  std::mt19937_64 Generator_;
  std::map<ObjectName, ConfigurationObject> Objects_;
  std::shared_ptr<Configuration const> Snapshot_;
  std::uint64_t Digest_ = 0;
  std::vector<Member> Members_;
  std::array<Collection, 3> Collections_;
  std::optional<TimePoint> NextDigest_;
  TimePoint Now_;
  std::vector<configuration::Action> Actions_;
};

} // namespace laburnum
