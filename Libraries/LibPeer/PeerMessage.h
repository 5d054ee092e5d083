#pragma once

#include <LibCore/Time.h>
#include <LibModel/ConfigurationObject.h>
#include <LibModel/EntryInstance.h>
#include <LibPeer/ConsumptionReport.h>
#include <LibPeer/ConsumptionSum.h>
#include <LibPeer/CrashReports.h>
#include <LibPeer/DemandReport.h>
#include <LibPeer/EngineWork.h>
#include <LibPeer/Rollouts.h>
#include <LibPeer/ServerRateLimits.h>
#include <LibPeer/ServerReserved.h>
#include <LibPeer/ShareGrant.h>
#include <LibPeer/StoreUpdate.h>
#include <LibPeer/StreamMessages.h>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace laburnum {

/// The first message of each connection: authenticates the sender by the shared
/// secret and names it.
struct Hello {
  std::string Secret_;
  EntryInstance Sender_;

  auto operator<=>(Hello const &) const = default;
};

/// State of a member as gossiped. Of two updates with the same incarnation
/// number the later enumerator takes precedence.
enum class MemberState { Alive, Suspect, Leaving, Gone };

/// Gossip about one member: its state and the configuration it holds.
struct MemberUpdate {
  EntryInstance Instance_;
  MemberState State_ = MemberState::Alive;
  /// Raised only by the member itself, to refute a suspicion.
  std::uint64_t IncarnationNumber_ = 0;
  Version ConfigurationVersion_ = 0;
  std::uint64_t ConfigurationDigest_ = 0;

  auto operator<=>(MemberUpdate const &) const = default;
};

enum class HeartbeatKind {
  Ping,        ///< Asks the receiver for an Acknowledge.
  Acknowledge, ///< Answers a ping of the same sequence number.
  PingRequest, ///< Asks the receiver to ping Target_ for the sender.
  Join,        ///< A ping that also asks for a share of the member list.
  Gossip,      ///< Carries updates only; nothing is answered.
};

/// A failure-detector message with gossip of bounded size.
struct Heartbeat {
  HeartbeatKind Kind_ = HeartbeatKind::Ping;
  std::uint64_t Sequence_ = 0;
  InstanceId Target_;                 ///< Set for a PingRequest only.
  std::vector<MemberUpdate> Updates_; ///< The sender's own state comes first.

  auto operator<=>(Heartbeat const &) const = default;
};

/// Digest of the configuration that the sender holds: equal digests mean equal
/// objects. If they differ, the receiver answers with its names and versions.
struct ConfigurationDigest {
  Version Version_ = 0;
  std::uint64_t Digest_ = 0;
  Endpoint ReplyTo_;

  auto operator<=>(ConfigurationDigest const &) const = default;
};

/// Objects held by the sender; the receiver applies those that are newer.
struct ConfigurationObjects {
  std::vector<ConfigurationObject> Objects_;

  auto operator<=>(ConfigurationObjects const &) const = default;
};

struct ObjectVersion {
  ObjectName Name_;
  Version Version_ = 0;

  auto operator<=>(ObjectVersion const &) const = default;
};

/// Requests the objects that are newer than those the sender holds.
struct ConfigurationRequest {
  std::vector<ObjectVersion> Held_;
  Endpoint ReplyTo_;

  auto operator<=>(ConfigurationRequest const &) const = default;
};

/// Notification that a backend server accepts no new work.
struct ServerLeavingNotice {
  ServerId Server_;
  Liveness Liveness_ = Liveness::Leaving;
  Duration Remaining_{}; ///< Until it is gone, when sent; 0 if not known.
  /// ChangeVersion_ of the server's configuration object that the notice refers
  /// to; a server that was applied again by a later change is not affected.
  Version ServerVersion_ = 0;
  /// Not 0: the notice results only from a refusal, which holds for this long
  /// from receipt.
  Duration Hold_ = Duration(0);

  auto operator<=>(ServerLeavingNotice const &) const = default;
};

/// All messages between instances. A new type has to be added at the end: its
/// index is its type number on the wire.
using PeerMessage =
    std::variant<Hello, Heartbeat, ConfigurationDigest, ConfigurationObjects,
                 ConfigurationRequest, ServerLeavingNotice, CrashReports,
                 ServerReserved, DemandReport, ShareGrant, StreamCheckpoint,
                 StreamQuery, StreamState, StreamHandOver, ConsumptionReport,
                 StoreUpdate, SnapshotRequest, ConsumptionSum, ServerRateLimits,
                 EngineWorkReport, EngineWorkSum, RolloutShares, VersionReport>;

} // namespace laburnum
