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

/// What is known of a server that takes no new work.
struct Departure {
  Liveness Liveness_ = Liveness::Leaving;
  /// When it is expected to be gone; empty when that is not known.
  std::optional<TimePoint> GoneAt_;
  Version ServerVersion_ = 0; ///< ChangeVersion_ of its object then.
  /// Set while it is not certain: only its own refusals say that it is leaving,
  /// which a server that is merely overloaded says too, or the sign may be
  /// about an earlier server of its name. It is tried again after this.
  std::optional<TimePoint> HoldUntil_ = std::nullopt;

  auto operator<=>(Departure const &) const = default;
};

/// The servers that take no new work. A server without entry is live.
using Departures = std::map<ServerId, Departure>;

/// The cloud API gave notice; one for an entry instance is ignored, and so is
/// one whose time was over before it was read.
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
/// Objects that the ConfigurationStore applied; those that are not servers
/// are ignored.
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

/// Publish the departures to the traffic threads. News_ are those servers
/// whose state changed with this event.
struct DirectoryChanged {
  std::shared_ptr<Departures const> Departures_;
  std::vector<ServerId> News_;

  auto operator<=>(DirectoryChanged const &) const = default;
};

using Action = std::variant<SendToPeer, DirectoryChanged>;

struct Settings {
  EntryInstance Self_;
  std::uint64_t Seed_ = 0;
  std::size_t FanOut_ = 8; ///< Peers told of each piece of news.
  /// How long a refusal keeps new work away. Longer than the instance list's
  /// lag, so that a server that is really leaving is confirmed meanwhile.
  Duration RefusalHold_ = std::chrono::seconds(30);
  /// News that this instance learned first hand is told again, for longer than
  /// membership takes to notice that peers were cut off: a suspicion's time
  /// and two of its periods. Peers that it notices are told as newcomers.
  Duration RepeatPeriod_ = std::chrono::seconds(1);
  Duration RepeatFor_ = std::chrono::seconds(7);
};

} // namespace servers

/// Knows which backend servers are leaving or gone, from whichever sign comes
/// first. States only advance, from live to leaving to gone; a server comes
/// back only when it is applied anew at a higher version, or when nothing but
/// its own refusals spoke against it and their time is over.
class ServerDirectory {
public:
  explicit ServerDirectory(servers::Settings Settings);

  std::vector<servers::Action> handle(servers::Event const &Event,
                                      TimePoint Now);

  std::shared_ptr<servers::Departures const> departures() const {
    return Departures_;
  }

private:
  /// Until when news is told again.
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

  std::optional<TimePoint> doubt(ServerId const &Id,
                                 std::optional<TimePoint> GoneAt) const;
  void learn(ServerId const &Id, servers::Departure const &Seen);
  void advance(ServerId const &Id, servers::Departure const &Seen);
  void repeatNews();
  void choiceDelay(servers::Departure &Known, servers::Departure const &Seen);
  void tellPeers(ServerId const &Id, servers::Departure const &News);
  void tellNewcomer(EntryInstance const &Newcomer);
  ServerLeavingNotice noticeOf(ServerId const &Id,
                               servers::Departure const &News) const;
  Version versionOf(ServerId const &Id) const;

  servers::Settings Settings_;
  std::mt19937_64 Generator_;
  std::shared_ptr<servers::Departures const> Departures_;
  servers::Departures Next_;
  std::map<ServerId, Version> Versions_; ///< Of the last changes.
  /// Listed at least once since they were applied, so that absence means gone.
  std::map<ServerId, Version> Listed_;
  std::map<ServerId, Repetition> Repetitions_; ///< Of what was seen here.
  std::vector<Member> Members_;
  std::vector<ServerId> News_;
  TimePoint Now_;
  std::vector<servers::Action> Actions_;
};

} // namespace laburnum
