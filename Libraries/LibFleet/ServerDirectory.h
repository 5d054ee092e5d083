#pragma once

#include <LibCore/Time.h>
#include <LibFleet/Member.h>
#include <LibFleet/SendToPeer.h>
#include <LibModel/ReclaimNotice.h>
#include <LibPlatform/InstanceList.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace laburnum {

namespace servers {

/// The state of a server that gets no new work.
struct Departure {
  Liveness Liveness_ = Liveness::Leaving;
  /// When it is expected to be gone; empty if unknown.
  std::optional<TimePoint> GoneAt_;
  /// ChangeVersion_ of the server's object when the departure was observed.
  Version ServerVersion_ = 0;
  /// Set while the departure is uncertain: either the only evidence are the
  /// server's refusals, which an overloaded server sends as well, or the
  /// evidence may concern a previous server of the same name. The server gets
  /// work again after this time.
  std::optional<TimePoint> HoldUntil_ = std::nullopt;

  auto operator<=>(Departure const &) const = default;
};

/// The servers that get no new work. A server without an entry is live.
using Departures = std::map<ServerId, Departure>;

/// The cloud API gave notice of a reclaim. A notice for an entry instance is
/// ignored, and so is one whose time was over before it was read.
struct NoticeReceived {
  ReclaimNotice Notice_;
};
struct InstancesListed {
  InstanceListing Listing_;
};
struct NoticeFromPeer {
  ServerLeavingNotice Notice_;
};
/// The server refused work: it is leaving or overloaded.
struct ServerRefused {
  ServerId Server_;
};
/// Objects that the ConfigurationStore applied; all kinds but servers are
/// ignored.
struct ObjectsApplied {
  std::vector<ConfigurationObject> Objects_;
};
struct MembersChanged {
  std::vector<Member> Members_;
};
/// Sent at least five times a second.
struct TimePassed {};

using Event =
    std::variant<NoticeReceived, InstancesListed, NoticeFromPeer, ServerRefused,
                 ObjectsApplied, MembersChanged, TimePassed>;

/// Publish the departures to the traffic threads. ChangedServers_ holds the
/// servers whose state changed with this event.
struct DirectoryChanged {
  std::shared_ptr<Departures const> Departures_;
  std::vector<ServerId> ChangedServers_;

  auto operator<=>(DirectoryChanged const &) const = default;
};

using Action = std::variant<SendToPeer, DirectoryChanged>;

struct Settings {
  EntryInstance Self_;
  std::uint64_t Seed_ = 0;
  std::size_t FanOut_ = 8; ///< Peers notified of each change.
  /// How long a refusal keeps new work away. Longer than the instance list's
  /// lag, so that the departure of a server that is really leaving is confirmed
  /// in the meantime.
  Duration RefusalHold_ = std::chrono::seconds(30);
  /// A departure that this instance observed itself is gossiped repeatedly, for
  /// longer than membership takes to detect that peers were partitioned: the
  /// suspicion timeout plus two periods. Peers that it detects as partitioned
  /// are notified as newcomers once they return.
  Duration RepeatPeriod_ = std::chrono::seconds(1);
  Duration RepeatDuration_ = std::chrono::seconds(7);
};

} // namespace servers

/// Tracks which backend servers are leaving or gone, from reclaim notices, the
/// instance list, peers' notices and servers' refusals, whichever comes first.
/// States only advance, from live to leaving to gone. A server becomes live
/// again only if its object is applied anew at a higher version, or if the
/// departure was uncertain and its hold has expired.
class ServerDirectory {
public:
  explicit ServerDirectory(servers::Settings Settings);

  std::vector<servers::Action> handle(servers::Event const &Event,
                                      TimePoint Now);

  std::shared_ptr<servers::Departures const> departures() const {
    return Departures_;
  }

private:
  /// The schedule for repeating gossip of one departure.
  struct Repetition {
    TimePoint Next_;
    TimePoint End_;
  };

  void on(servers::NoticeReceived const &Event);
  void on(servers::InstancesListed const &Event);
  void on(servers::NoticeFromPeer const &Event);
  void on(servers::ServerRefused const &Event);
  void on(servers::ObjectsApplied const &Event);
  void on(servers::MembersChanged const &Event);
  void on(servers::TimePassed const &Event);

  std::optional<TimePoint>
  uncertainUntil(ServerId const &Id, std::optional<TimePoint> GoneAt) const;
  void observe(ServerId const &Id, servers::Departure const &Observed);
  void merge(ServerId const &Id, servers::Departure const &Observed);
  void repeatGossip();
  void updateHold(servers::Departure &Known,
                  servers::Departure const &Observed);
  void notifyPeers(ServerId const &Id, servers::Departure const &Announced);
  void notifyNewcomer(EntryInstance const &Newcomer);
  ServerLeavingNotice noticeOf(ServerId const &Id,
                               servers::Departure const &Announced) const;
  Version versionOf(ServerId const &Id) const;

  servers::Settings Settings_;
  std::mt19937_64 Generator_;
  std::shared_ptr<servers::Departures const> Departures_;
  servers::Departures Next_;
  std::map<ServerId, Version> Versions_; ///< Of the servers' last changes.
  /// Servers that the instance list has contained at this version; if they are
  /// absent from it later, they are gone.
  std::map<ServerId, Version> Listed_;
  std::map<ServerId, Repetition> Repetitions_; ///< Of local observations.
  std::vector<Member> Members_;
  std::vector<ServerId> ChangedServers_;
  TimePoint Now_;
  std::vector<servers::Action> Actions_;
};

} // namespace laburnum
