#pragma once

#include <LibCore/Time.h>
#include <LibModel/ConfigurationObject.h>
#include <LibModel/EntryInstance.h>
#include <LibPeer/ConsumptionReport.h>
#include <LibPeer/ConsumptionSum.h>
#include <LibPeer/CrashReports.h>
#include <LibPeer/DemandReport.h>
#include <LibPeer/ServerReserved.h>
#include <LibPeer/ShareGrant.h>
#include <LibPeer/StoreNews.h>
#include <LibPeer/StreamMessages.h>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace laburnum {

/// The first message of each connection: proves the shared secret and says who
/// opened it.
struct Hello {
  std::string Secret_;
  EntryInstance Sender_;

  auto operator<=>(Hello const &) const = default;
};

/// What members say of one another; of two with the same incarnation the
/// later enumerator wins.
enum class MemberState { Alive, Suspect, Leaving, Gone };

/// One piece of gossip: a member's state and the configuration it holds.
struct MemberUpdate {
  EntryInstance Instance_;
  MemberState State_ = MemberState::Alive;
  /// Raised only by the member itself, to refute a suspicion.
  std::uint64_t Incarnation_ = 0;
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
  InstanceId Target_;                 ///< Of a PingRequest.
  std::vector<MemberUpdate> Updates_; ///< The sender's own comes first.

  auto operator<=>(Heartbeat const &) const = default;
};

/// A summary of what the sender holds: equal digests mean equal objects. When
/// they differ the receiver answers with its names and versions.
struct ConfigurationDigest {
  Version Version_ = 0;
  std::uint64_t Digest_ = 0;
  Endpoint ReplyTo_;

  auto operator<=>(ConfigurationDigest const &) const = default;
};

/// Objects that the sender holds, for the receiver to apply if newer.
struct ConfigurationObjects {
  std::vector<ConfigurationObject> Objects_;

  auto operator<=>(ConfigurationObjects const &) const = default;
};

struct ObjectVersion {
  ObjectName Name_;
  Version Version_ = 0;

  auto operator<=>(ObjectVersion const &) const = default;
};

/// Names and versions the sender holds, asking for whatever is newer.
struct ConfigurationRequest {
  std::vector<ObjectVersion> Held_;
  Endpoint ReplyTo_;

  auto operator<=>(ConfigurationRequest const &) const = default;
};

/// News that a backend server takes no new work.
struct ServerLeavingNotice {
  ServerId Server_;
  Liveness Liveness_ = Liveness::Leaving;
  Duration Remaining_{}; ///< Until it is gone, when sent; 0 if not known.
  /// ChangeVersion_ of the server's configuration object that it is about; a
  /// server applied anew by a later change is not touched.
  Version ServerVersion_ = 0;
  /// Not 0: only a refusal stands behind it, which counts this long from now.
  Duration Hold_ = Duration(0);

  auto operator<=>(ServerLeavingNotice const &) const = default;
};

/// Everything that instances say to one another. A new type goes at the end:
/// its place is its number on the wire.
using PeerMessage =
    std::variant<Hello, Heartbeat, ConfigurationDigest, ConfigurationObjects,
                 ConfigurationRequest, ServerLeavingNotice, CrashReports,
                 ServerReserved, DemandReport, ShareGrant, StreamCheckpoint,
                 StreamQuery, StreamState, StreamHandOver, ConsumptionReport,
                 StoreNews, StoreNewsRequest, ConsumptionSum>;

} // namespace laburnum
