#pragma once

#include <LibControl/RetryPause.h>
#include <LibControl/VersionJudge.h>
#include <LibCore/Time.h>
#include <LibPeer/Rollouts.h>
#include <LibPlatform/ObjectStore.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace laburnum {

/// An operator's order to move a service's requests to a software version.
struct RolloutOrder {
  ServiceName Service_;
  std::string Target_;
  Duration Time_{}; ///< From the order until it is to be completed.

  auto operator<=>(RolloutOrder const &) const = default;
};

/// How far a roll-out has come. The last two are final.
enum class RolloutStage {
  Trial,     ///< A small part of the requests goes to the target.
  Enlarged,  ///< Enough of them that load shows.
  Full,      ///< All requests; the others' last answers are awaited.
  Completed, ///< The other versions' servers may stop.
  RolledBack,
};

/// What is kept of a roll-out in the store, so that any instance can go on with
/// it.
struct RolloutRecord {
  std::uint64_t Order_ = 0; ///< Identifies the order; 0: there is none.
  RolloutOrder What_;
  RolloutStage Stage_ = RolloutStage::Trial;
  Duration BegunAt_{}; ///< Time of day, since 1970.

  auto operator<=>(RolloutRecord const &) const = default;
};

namespace rollout {

/// Writes the record if the stored one still has that version.
struct WriteRecord {
  RolloutRecord Record_;
  Version Expected_ = 0;

  auto operator<=>(WriteRecord const &) const = default;
};
/// Tells the operator how far the order has come.
struct WriteStatus {
  ServiceName Service_;
  Version Expected_ = 0; ///< Of the order's object.
  std::string Target_;
  RolloutStage Stage_ = RolloutStage::Trial;

  auto operator<=>(WriteStatus const &) const = default;
};
/// Why a roll-out has taken a step, for the log.
struct StageDecided {
  ServiceName Service_;
  std::string Target_;
  RolloutStage Stage_ = RolloutStage::Trial;
  std::string Reason_;
  AnswerCounts TargetAnswers_;
  AnswerCounts OtherAnswers_;

  auto operator<=>(StageDecided const &) const = default;
};
using Action = std::variant<WriteRecord, WriteStatus, StageDecided>;

} // namespace rollout

/// Decides on roll-outs, at the instance that holds the lease. The record in
/// the store is written by conditional updates before anything follows from it,
/// so that two holders can't decide differently. Requests go to the target only
/// by shares that lapse without news of the holder.
class RolloutController {
public:
  explicit RolloutController(std::unique_ptr<VersionJudge> Judge);

  /// An order in the store at that version, or what is wrong with it. Its
  /// identifier differs from those of other orders and is never 0.
  void setOrder(ServiceName const &Service, Version Stored,
                std::uint64_t Identifier,
                std::variant<RolloutOrder, std::string> Decoded);
  /// The order is gone from the store: its record is not heeded any more.
  void removeOrder(ServiceName const &Service);
  /// The record as the store holds it at that version.
  void setRecord(ServiceName const &Service,
                 std::optional<RolloutRecord> Record, Version Stored);
  /// Whether any server of the version is listed.
  void
  setListed(std::map<ServiceName, std::map<std::string, std::size_t>> Servers) {
    Servers_ = std::move(Servers);
  }
  void onReport(InstanceId const &From, VersionReport const &Report);
  /// A write of the record has failed: the store is to be read again. The next
  /// write follows after a pause.
  void onWriteFailed(ServiceName const &Service, ErrorKind Why, TimePoint Now);
  /// A status was written, or is to be written again after a pause.
  void onStatusWritten(ServiceName const &Service);
  void onStatusFailed(ServiceName const &Service, ErrorKind Why, TimePoint Now);

  /// To be called a few times a second while this instance holds the lease.
  std::vector<rollout::Action> advance(Duration TimeOfDay, TimePoint Now);
  /// The shares that follow from the records, to be sent by the holder.
  std::vector<RolloutShare> shares() const;
  bool hasOrders() const { return !Orders_.empty(); }
  /// The records of all roll-outs that are known here.
  std::map<ServiceName, RolloutRecord> records() const;

private:
  struct Order {
    Version Version_ = 0;
    std::uint64_t Identifier_ = 0; ///< 0: the order is gone.
    std::variant<RolloutOrder, std::string> Decoded_;
  };
  struct Record {
    std::optional<RolloutRecord> Stored_;
    Version Version_ = 0;
    bool IsWriting_ = false;
    /// The final state was written to the order's status by this instance.
    bool IsStatusWritten_ = false;
    RetryPause WritePause_;
    RetryPause StatusPause_;
  };
  struct Evidence {
    AnswerCounts Target_;
    AnswerCounts Others_;
    std::uint64_t OthersRunning_ = 0;

    void add(Evidence const &More);
  };

  void advance(ServiceName const &Service, Order const &Ordered, Record &Kept,
               Duration TimeOfDay, TimePoint Now);
  /// Returns the next stage with the reason for it, or nothing.
  struct Step {
    RolloutStage Stage_ = RolloutStage::Trial;
    std::string Reason_;
    Evidence Seen_;
  };
  std::optional<Step> nextStep(RolloutRecord const &Stored,
                               Duration TimeOfDay) const;
  void begin(ServiceName const &Service, Order const &Ordered, Record &Kept,
             Duration TimeOfDay);
  void write(Record &Kept, RolloutRecord Next, std::string Reason,
             Evidence const &Seen);
  std::map<std::string, Evidence> evidence(ServiceName const &Service,
                                           std::string const &Target) const;

  std::unique_ptr<VersionJudge> Judge_;
  std::map<ServiceName, Order> Orders_;
  std::map<ServiceName, Record> Records_;
  std::map<ServiceName, std::map<std::string, std::size_t>> Servers_;
  /// The last report of each instance, whose counts are cumulative.
  std::map<InstanceId, VersionReport> Reports_;
  std::vector<rollout::Action> Actions_;
};

} // namespace laburnum
