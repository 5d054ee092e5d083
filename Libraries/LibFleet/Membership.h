#pragma once

#include <LibCore/Time.h>
#include <LibFleet/Member.h>
#include <LibFleet/SendToPeer.h>
#include <LibPlatform/InstanceList.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace laburnum {

namespace membership {

/// The platform's instance list was read.
struct InstancesListed {
  InstanceListing Listing_;
};
struct HeartbeatFromPeer {
  InstanceId From_;
  Heartbeat Heartbeat_;
};
/// This instance holds another configuration now.
struct OwnConfigurationChanged {
  Version Version_ = 0;
  std::uint64_t Digest_ = 0;
};
/// This instance is being reclaimed or stopped.
struct OwnLeaving {};
/// Sent at least five times a second.
struct TimePassed {};

using Event = std::variant<InstancesListed, HeartbeatFromPeer,
                           OwnConfigurationChanged, OwnLeaving, TimePassed>;

/// members() differs in instances or liveness. Members_ includes this one.
struct MembersChanged {
  std::vector<Member> Members_;

  auto operator<=>(MembersChanged const &) const = default;
};

using Action = std::variant<SendToPeer, MembersChanged>;

struct Settings {
  EntryInstance Self_;
  std::vector<Endpoint> Seeds_; ///< Peers_ endpoints tried when alone.
  std::uint64_t Seed_ = 0;
  Duration Period_ = std::chrono::seconds(1);
  Duration PingTimeout_ = std::chrono::milliseconds(400);
  Duration SuspicionTimeout_ = std::chrono::seconds(5);
  /// A Gone member is remembered this long, so that old gossip cannot bring
  /// it back, and is pinged now and then, so that a cut heals.
  Duration GoneRetention_ = std::chrono::minutes(10);
  std::size_t UpdatesPerMessage_ = 3; ///< Besides the sender's own.
};

} // namespace membership

/// SWIM-style membership of entry instances (Das, Gupta, Motivala 2002): one
/// random ping a period, indirect pings through two others, suspicion with
/// incarnation numbers, and gossip of bounded size on each message, so that an
/// instance's traffic does not grow with the fleet.
class Membership {
public:
  explicit Membership(membership::Settings Settings);

  std::vector<membership::Action> handle(membership::Event const &Event,
                                         TimePoint Now);

  /// All members known, this instance included, in order of identifier.
  std::vector<Member> members() const;

private:
  struct Known {
    MemberUpdate Update_;
    TimePoint Since_; ///< When State_ was learned.
    std::uint32_t SpreadsLeft_ = 0;
    TimePoint HeardAt_ = {}; ///< As of Member.
  };
  struct Probe {
    InstanceId Target_;
    std::uint64_t Sequence_ = 0;
    TimePoint Started_;
    bool AskedOthers_ = false;
  };
  struct Relay {
    std::uint64_t Sequence_ = 0;
    std::uint64_t OriginalSequence_ = 0;
    Endpoint ReplyTo_;
    TimePoint Started_;
  };

  void on(membership::InstancesListed const &Event);
  void on(membership::HeartbeatFromPeer const &Event);
  void on(membership::OwnConfigurationChanged const &Event);
  void on(membership::OwnLeaving const &Event);
  void on(membership::TimePassed const &Event);

  void learn(MemberUpdate const &Update);
  void learnOfSelf(MemberUpdate const &Update);
  void learnConfiguration(Known &Held, MemberUpdate const &Update);
  void setState(InstanceId const &Id, MemberState State);
  bool isEndpointTaken(EntryInstance const &Life) const;
  /// An endpoint belongs to one life of an instance: the others that were known
  /// there have ended. Only those not heard since a moment are taken for that.
  void endOthersAt(EntryInstance const &Life, Duration Unheard);
  void answer(Endpoint const &To, InstanceId const &Asker,
              Heartbeat const &Message);
  void acknowledged(std::uint64_t Sequence);
  void relayPing(Endpoint const &ReplyTo, Heartbeat const &Request);
  void startProbe();
  void askOthers();
  void endProbe();
  void expire();
  void contactSeeds();
  void contactGone();
  std::vector<InstanceId> withState(MemberState First, MemberState Last) const;
  std::vector<InstanceId> randomReachable(std::size_t Count);
  std::optional<InstanceId> nextTarget();
  /// This instance's own update, the one about To unless it is alive, the
  /// freshest news, then random members up to Limit besides its own.
  std::vector<MemberUpdate> updates(InstanceId const &To, std::size_t Limit);
  void addFreshest(std::vector<MemberUpdate> &Into, std::size_t Limit);
  void addRandom(std::vector<MemberUpdate> &Into, std::size_t Limit);
  void send(Endpoint const &To, InstanceId const &Receiver, Heartbeat Message);
  std::uint32_t spreads() const;

  membership::Settings Settings_;
  std::mt19937_64 Generator_;
  MemberUpdate Self_;
  std::map<InstanceId, Known> Others_;
  std::vector<InstanceId> ProbeOrder_;
  std::optional<Probe> Probe_;
  std::vector<Relay> Relays_;
  std::uint64_t NextSequence_ = 1;
  std::optional<TimePoint> NextPeriod_;
  std::uint64_t Periods_ = 0;
  TimePoint Now_;
  bool Changed_ = false;
  std::vector<membership::Action> Actions_;
};

} // namespace laburnum
