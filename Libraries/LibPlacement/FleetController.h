#pragma once

#include <LibBackend/FencedOrder.h>
#include <LibCore/Time.h>
#include <LibFleet/ServerDirectory.h>
#include <LibModel/Configuration.h>
#include <LibPlacement/EngineOrderScheduler.h>
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

/// The current result of LeaseHolder::held().
struct LeaseUpdated {
  std::optional<HeldLease> Lease_;
};
struct ConfigurationUpdated {
  std::shared_ptr<Configuration const> InForce_;
};
struct DeparturesUpdated {
  std::shared_ptr<servers::Departures const> Departures_;
};
/// ReadRecord succeeded.
struct RecordRead {
  StoredObject Object_;
};
/// WriteRecord succeeded and created this version.
struct RecordWritten {
  Version Version_ = 0;
};
/// ReadRecord failed, or WriteRecord failed, was refused, or has an unknown
/// outcome.
struct RecordFailed {};
/// StartServer succeeded.
struct ServerStarted {
  std::string OrderId_;
  ServerId Server_;
};
/// The cloud rejected the start for lack of capacity.
struct StartRefused {
  std::string OrderId_;
};
/// The start may or may not have happened.
struct StartFailed {
  std::string OrderId_;
};
/// StopServer succeeded.
struct ServerStopped {
  ServerId Server_;
};
struct StopFailed {
  ServerId Server_;
};
/// The outcome of SendEngineOrder.
struct EngineOrderEnded {
  std::string OrderId_;
  std::uint64_t Fencing_ = 0; ///< Fencing number of the order.
  EngineOrderOutcome Outcome_ = EngineOrderOutcome::Done;
};
/// A timer tick, sent at least once a second.
struct TimePassed {};

using Event =
    std::variant<LeaseUpdated, ConfigurationUpdated, DeparturesUpdated,
                 RecordRead, RecordWritten, RecordFailed, ServerStarted,
                 StartRefused, StartFailed, ServerStopped, StopFailed,
                 EngineOrderEnded, TimePassed>;

/// Read the order record. Answered by RecordRead or RecordFailed.
struct ReadRecord {
  auto operator<=>(ReadRecord const &) const = default;
};
/// Write the order record by conditional update.
struct WriteRecord {
  Version Expected_ = 0;
  std::string Value_;

  auto operator<=>(WriteRecord const &) const = default;
};
/// Ask the cloud to start a server. The request must be sent before
/// SendBefore_.
struct StartServer {
  StartOrder Order_;
  TimePoint SendBefore_;

  auto operator<=>(StartServer const &) const = default;
};
/// Route no new work to the server. StopServer follows after Within_.
struct DrainServer {
  ServerId Server_;
  Duration Within_{};

  auto operator<=>(DrainServer const &) const = default;
};
/// Ask the cloud to stop a server. The request must be sent before SendBefore_.
struct StopServer {
  ServerId Server_;
  TimePoint SendBefore_;

  auto operator<=>(StopServer const &) const = default;
};
struct SendEngineOrder {
  DueEngineOrder Order_;

  auto operator<=>(SendEngineOrder const &) const = default;
};
/// Release the lease, because an engine has seen a higher fencing number.
struct ReleaseLease {
  auto operator<=>(ReleaseLease const &) const = default;
};

using Action = std::variant<ReadRecord, WriteRecord, StartServer, DrainServer,
                            StopServer, SendEngineOrder, ReleaseLease>;

struct Settings {
  EngineOrderSettings Orders_;
  PlacementSettings Placement_;
  /// A slot where a start was refused is excluded for this long; the time
  /// doubles with each further refusal, up to MaxBackoff_.
  Duration InitialBackoff_ = std::chrono::seconds(10);
  Duration MaxBackoff_ = std::chrono::minutes(10);
  Duration RetryPause_ = std::chrono::seconds(2);
  /// How long a surplus server may finish its requests before it is stopped.
  Duration DrainTime_ = std::chrono::seconds(60);
  double PriorReclaimsPerHour_ = 0.05;
  double PriorServerHours_ = 20;
};

} // namespace controller

/// Reconciles the servers of each service that sets desired servers with its
/// configuration. It acts only while the lease is held. An order is written to
/// the order record on the platform before the cloud is called, so that the
/// next holder, or the same one after a lost answer, sends the same order
/// again.
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
  /// State of the cloud call for one order.
  struct Call {
    bool IsAwaited_ = false;
    TimePoint NotBefore_{};
  };

  void on(controller::LeaseUpdated const &Event);
  void on(controller::ConfigurationUpdated const &Event);
  void on(controller::DeparturesUpdated const &Event);
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
  /// Whether a call started now is delivered while the lease is still valid.
  bool mayCall() const;
  void reconcile();
  void applyCallResults(OrderRecord &Next);
  void removeDepartedOrders(OrderRecord &Next);
  void planService(Service const &Owner, OrderRecord &Next);
  void callCloud();
  void callCloudFor(ServerOrder const &Order);
  void stop(ServerOrder const &Order);
  void sendEngineOrders();
  void updateEngines();
  void sampleServerHours();
  void retryLater(std::string const &OrderId);
  /// Returns nullptr when the record does not contain the order.
  ServerOrder const *find(std::string const &OrderId) const;
  void pruneCallState();
  std::set<PlacementSlot> refusedSlots() const;

  controller::Settings Settings_;
  std::optional<HeldLease> Lease_;
  std::shared_ptr<Configuration const> InForce_;
  std::shared_ptr<servers::Departures const> Departures_;
  /// As last read or written. Empty until it is read under the current lease.
  std::optional<OrderRecord> Record_;
  Version RecordVersion_ = 0;
  std::optional<OrderRecord> PendingRecord_;
  bool IsRecordAwaited_ = false;
  TimePoint NextRecordCall_{};
  std::map<std::string, Call> Calls_; ///< By order identifier.
  /// Outcomes of cloud calls that the record does not show yet, by order.
  std::map<std::string, ServerId> Started_;
  std::set<std::string> Refused_; ///< Starts that were refused.
  std::set<std::string> Stopped_;
  std::map<std::string, TimePoint> DrainedAt_;
  std::map<PlacementSlot, Refusal> Refusals_;
  EngineOrderScheduler Engines_;
  ReclaimRates Rates_;
  std::optional<TimePoint> LastReclaimSampleAt_;
  TimePoint Now_;
  std::vector<controller::Action> Actions_;
};

} // namespace laburnum
