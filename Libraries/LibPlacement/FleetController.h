#pragma once

#include <LibBackend/FencedOrder.h>
#include <LibCore/Time.h>
#include <LibFleet/ServerDirectory.h>
#include <LibModel/Configuration.h>
#include <LibPlacement/EngineOrderDesk.h>
#include <LibPlacement/LeaseHolder.h>
#include <LibPlacement/ServicePlacement.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace laburnum {

namespace controller {

/// LeaseHolder::held() as it is now.
struct LeaseSeen {
  std::optional<HeldLease> Lease_;
};
struct ConfigurationSeen {
  std::shared_ptr<Configuration const> InForce_;
};
struct DeparturesSeen {
  std::shared_ptr<servers::Departures const> Departures_;
};
/// The answer to ReadRecord.
struct RecordRead {
  StoredObject Object_;
};
/// The answer to WriteRecord: it took effect and made this version.
struct RecordWritten {
  Version Version_ = 0;
};
/// ReadRecord failed, or WriteRecord failed, was refused, or has an unknown
/// outcome.
struct RecordFailed {};
/// The answers to StartServer. A refusal is for lack of capacity.
struct ServerStarted {
  std::string OrderId_;
  ServerId Server_;
};
struct StartRefused {
  std::string OrderId_;
};
/// The start may or may not have happened.
struct StartFailed {
  std::string OrderId_;
};
/// The answer to StopServer.
struct ServerStopped {
  ServerId Server_;
};
struct StopFailed {
  ServerId Server_;
};
/// The answer to SendEngineOrder.
struct EngineOrderEnded {
  std::string OrderId_;
  std::uint64_t Fencing_ = 0; ///< As in the order.
  EngineOrderOutcome Outcome_ = EngineOrderOutcome::Done;
};
/// Sent at least once a second.
struct TimePassed {};

using Event =
    std::variant<LeaseSeen, ConfigurationSeen, DeparturesSeen, RecordRead,
                 RecordWritten, RecordFailed, ServerStarted, StartRefused,
                 StartFailed, ServerStopped, StopFailed, EngineOrderEnded,
                 TimePassed>;

/// Read the record of orders. Answered by RecordRead or RecordFailed.
struct ReadRecord {
  auto operator<=>(ReadRecord const &) const = default;
};
/// Write the record by conditional update.
struct WriteRecord {
  Version Expected_ = 0;
  std::string Value_;

  auto operator<=>(WriteRecord const &) const = default;
};
/// Ask the cloud, but not at SendBefore_ or later.
struct StartServer {
  StartOrder Order_;
  TimePoint SendBefore_;

  auto operator<=>(StartServer const &) const = default;
};
/// Give the server no new work; StopServer follows.
struct DrainServer {
  ServerId Server_;
  Duration Within_{};

  auto operator<=>(DrainServer const &) const = default;
};
struct StopServer {
  ServerId Server_;
  TimePoint SendBefore_;

  auto operator<=>(StopServer const &) const = default;
};
struct SendEngineOrder {
  DueEngineOrder Order_;

  auto operator<=>(SendEngineOrder const &) const = default;
};
/// An engine has seen a higher fencing number.
struct GiveUpLease {
  auto operator<=>(GiveUpLease const &) const = default;
};

using Action = std::variant<ReadRecord, WriteRecord, StartServer, DrainServer,
                            StopServer, SendEngineOrder, GiveUpLease>;

struct Settings {
  EngineOrderSettings Orders_;
  PlacementSettings Placement_;
  /// A slot that refused a start is left out this long, and twice as long
  /// after each further refusal.
  Duration FirstBackoff_ = std::chrono::seconds(10);
  Duration LongestBackoff_ = std::chrono::minutes(10);
  Duration RetryPause_ = std::chrono::seconds(2);
  /// How long a surplus server finishes its requests before it is stopped.
  Duration DrainTime_ = std::chrono::seconds(60);
  double PriorReclaimsPerHour_ = 0.05;
  double PriorServerHours_ = 20;
};

} // namespace controller

/// Brings the servers of each service with desired servers to what its
/// operators want. It acts only under the lease. An order is in the platform's
/// record before the cloud is asked, so that a successor, or the same holder
/// after a lost answer, sends the same order again.
class FleetController {
public:
  explicit FleetController(controller::Settings Settings);

  std::vector<controller::Action> handle(controller::Event const &Event,
                                         TimePoint Now);

private:
  struct Refusal {
    TimePoint Until_{};
    Duration Backoff_{};
  };
  /// A call of the cloud about one order.
  struct Call {
    bool IsAwaited_ = false;
    TimePoint NotBefore_{};
  };

  void on(controller::LeaseSeen const &Event);
  void on(controller::ConfigurationSeen const &Event);
  void on(controller::DeparturesSeen const &Event);
  void on(controller::RecordRead const &Event);
  void on(controller::RecordWritten const &Event);
  void on(controller::RecordFailed const &Event);
  void on(controller::ServerStarted const &Event);
  void on(controller::StartRefused const &Event);
  void on(controller::StartFailed const &Event);
  void on(controller::ServerStopped const &Event);
  void on(controller::StopFailed const &Event);
  void on(controller::EngineOrderEnded const &Event);
  void on(controller::TimePassed const &Event);

  void act();
  /// Whether a call begun now ends within the proven time of the lease.
  bool mayCall() const;
  void reconcile();
  void applyAnswers(OrderRecord &Next);
  void dropGone(OrderRecord &Next);
  void place(Service const &Owner, OrderRecord &Next);
  void callCloud();
  void callFor(ServerOrder const &One);
  void stop(ServerOrder const &One);
  void sendEngineOrders();
  void updateEngines();
  void watchReclaims();
  void retryLater(std::string const &OrderId);
  /// nullptr when the record does not hold the order.
  ServerOrder const *find(std::string const &OrderId) const;
  void forgetOldOrders();
  std::set<PlacementSlot> refusedSlots() const;

  controller::Settings Settings_;
  std::optional<HeldLease> Lease_;
  std::shared_ptr<Configuration const> InForce_;
  std::shared_ptr<servers::Departures const> Departures_;
  /// As last read or written; empty until it is read under the lease.
  std::optional<OrderRecord> Record_;
  Version RecordVersion_ = 0;
  std::optional<OrderRecord> Writing_;
  bool IsRecordAwaited_ = false;
  TimePoint NextRecordCall_{};
  std::map<std::string, Call> Calls_;       ///< By order.
  std::map<std::string, ServerId> Started_; ///< Answers to be recorded.
  std::set<std::string> Refused_;           ///< The same, of starts.
  std::set<std::string> Stopped_;           ///< The same, of stops.
  std::map<std::string, TimePoint> DrainedAt_;
  std::map<PlacementSlot, Refusal> Refusals_;
  EngineOrderDesk Engines_;
  ReclaimRates Rates_;
  std::optional<TimePoint> WatchedUntil_;
  TimePoint Now_;
  std::vector<controller::Action> Actions_;
};

} // namespace laburnum
