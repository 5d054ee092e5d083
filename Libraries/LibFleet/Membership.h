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
/// A member of the fleet has contacted this instance.
struct IntroducedByPeer {
  Endpoint Peer_;
};
/// The configuration that this instance holds has changed.
struct LocalConfigurationChanged {
  Version Version_ = 0;
  std::uint64_t Digest_ = 0;
};
/// This instance is being reclaimed or stopped.
struct LocalInstanceLeaving {};
/// Sent at least five times a second.
struct TimePassed {};

using Event =
    std::variant<InstancesListed, HeartbeatFromPeer, IntroducedByPeer,
                 LocalConfigurationChanged, LocalInstanceLeaving, TimePassed>;

/// members() differs in instances or liveness. Members_ includes this one.
struct MembersChanged {
  std::vector<Member> Members_;

  auto operator<=>(MembersChanged const &) const = default;
};

using Action = std::variant<SendToPeer, MembersChanged>;

struct Settings {
  EntryInstance Self_;
  /// Peers_ endpoints to join through while no other member is known.
  std::vector<Endpoint> Seeds_;
  std::uint64_t Seed_ = 0;
  Duration Period_ = std::chrono::seconds(1);
  Duration PingTimeout_ = std::chrono::milliseconds(400);
  Duration SuspicionTimeout_ = std::chrono::seconds(5);
  /// How long a Gone member is remembered, so that old gossip cannot revive it.
  /// Until then it is pinged occasionally, so that a healed network partition
  /// is detected.
  Duration GoneRetention_ = std::chrono::minutes(10);
  std::size_t UpdatesPerMessage_ = 3; ///< Besides the sender's update.
};

} // namespace membership

/// SWIM membership of entry instances (Das, Gupta, Motivala 2002): one random
/// ping per period, indirect pings through two other members, suspicion with
/// incarnation numbers, and gossip of bounded size piggybacked on each message,
/// so that an instance's traffic does not grow with the fleet.
class Membership {
public:
  explicit Membership(membership::Settings Settings);

  std::vector<membership::Action> handle(membership::Event const &Event,
                                         TimePoint Now);

  /// All known members, this instance included, ordered by identifier.
  std::vector<Member> members() const;

private:
  struct KnownMember {
    MemberUpdate Update_;
    TimePoint Since_; ///< When the update's State_ was learned.
    std::uint32_t RetransmissionsLeft_ = 0;
    TimePoint LastReceivedAt_ = {}; ///< As in Member.
  };
  struct Probe {
    InstanceId Target_;
    std::uint64_t Sequence_ = 0;
    TimePoint Started_;
    bool IsIndirectSent_ = false;
  };
  struct Relay {
    std::uint64_t Sequence_ = 0;
    std::uint64_t OriginalSequence_ = 0;
    Endpoint ReplyTo_;
    TimePoint Started_;
  };

  void on(membership::InstancesListed const &Event);
  void on(membership::HeartbeatFromPeer const &Event);
  void on(membership::IntroducedByPeer const &Event);
  void on(membership::LocalConfigurationChanged const &Event);
  void on(membership::LocalInstanceLeaving const &Event);
  void on(membership::TimePassed const &Event);

  void merge(MemberUpdate const &Update);
  void refute(MemberUpdate const &Update);
  void mergeConfiguration(KnownMember &Held, MemberUpdate const &Update);
  void setState(InstanceId const &Id, MemberState State);
  bool isEndpointTaken(EntryInstance const &Current) const;
  /// An endpoint belongs to one incarnation of an instance, so any other member
  /// known at Current's endpoint is a previous incarnation and is marked Gone,
  /// provided that nothing was received from it for at least MinSilence.
  void markPreviousIncarnationsGone(EntryInstance const &Current,
                                    Duration MinSilence);
  void answer(Endpoint const &To, InstanceId const &Asker,
              Heartbeat const &Message);
  void acknowledged(std::uint64_t Sequence);
  void relayPing(Endpoint const &ReplyTo, Heartbeat const &Request);
  void startProbe();
  void sendIndirectPings();
  void endProbe();
  void expire();
  void contactSeeds();
  void pingGone();
  std::vector<InstanceId> withState(MemberState First, MemberState Last) const;
  std::vector<InstanceId> randomReachable(std::size_t Count);
  std::optional<InstanceId> nextTarget();
  /// The updates for a message to To: this instance's update, the one about To
  /// unless To is alive, those least often retransmitted, then random ones, up
  /// to Limit besides the first.
  std::vector<MemberUpdate> updates(InstanceId const &To, std::size_t Limit);
  void addFreshest(std::vector<MemberUpdate> &Into, std::size_t Limit);
  void addRandom(std::vector<MemberUpdate> &Into, std::size_t Limit);
  void send(Endpoint const &To, InstanceId const &Receiver, Heartbeat Message);
  std::uint32_t retransmissions() const;

  membership::Settings Settings_;
  std::mt19937_64 Generator_;
  MemberUpdate Self_;
  std::map<InstanceId, KnownMember> Others_;
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
