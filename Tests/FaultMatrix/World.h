#pragma once

#include <FaultMatrix/Callers.h>
#include <FaultMatrix/Entry.h>

#include <LibFleet/ChangeWriter.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace laburnum::faults {

/// How instances first learn that a server is leaving.
enum class DepartureSource { Notice, List, Peer, Refusal };

/// Whether a non-idempotent call may end in may_have_run.
enum class UnknownOutcome { Never, Allowed };

/// A simulation of entry instances in two data centres with their peers,
/// backend servers, platform, operators and callers, in one thread and virtual
/// time.
class World {
public:
  static constexpr std::size_t Instances = 6;
  static constexpr Duration FaultTime = std::chrono::seconds(3);
  /// The maximum time after which a leaving server gets no new work.
  static constexpr Duration LeavingBound = std::chrono::seconds(3);

  World(std::uint64_t Seed, Mutants ActiveMutants);

  void run(Duration Span) { Queue_.runUntil(Queue_.now() + Span); }

  // Actions of callers, operators and the cloud.
  std::size_t call(std::string const &Key, Idempotence Kind,
                   std::size_t Instance, Duration Timeout = DefaultTimeout);
  std::size_t stream(std::string const &Prompt, std::uint32_t Tokens,
                     std::size_t Instance);
  void resubmit(std::size_t Caller, std::size_t Instance) {
    Callers_.resubmit(Caller, Instance);
  }
  /// Generates a steady load of idempotent calls for Span.
  void generateLoad(Duration Span);
  void change(std::string const &Id, std::size_t Instance);
  void raceOperators(std::string const &Id, std::size_t Instance);
  void announceDeparture(ServerId const &Server, DepartureSource Source,
                         Duration Remaining);
  void stopInstance(std::size_t Number);
  void reclaim(ServerId const &Id, Duration Notice);
  /// Terminates the server without notice.
  void terminateServer(ServerId const &Id);

  /// Runs Callback as soon as the step is first reached, by the call with this
  /// key if the step happens at a server.
  void atStep(Step Awaited, std::string const &Key,
              std::function<void(StepLocation const &)> Callback);
  void onStepReached(Step Reached, StepLocation const &Location);
  void after(Duration Delay, EventQueue::Work Callback) {
    Queue_.after(Delay, std::move(Callback));
  }

  void inject(Fault Injected, StepLocation const &Location);
  void partitionDataCentres(Duration Span);
  void kill(std::size_t Number);

  /// Ends all faults, waits until the system is quiescent and checks the
  /// guarantees.
  void settle(UnknownOutcome Allowed);

  /// Checks that an instance has the highest accepted version of every object.
  void checkInForce(std::size_t Number);

  Oracle &oracle() { return Oracle_; }
  BackendFake &backends() { return Backends_; }
  PlatformFake &platform() { return Platform_; }
  Callers const &callers() const { return Callers_; }

private:
  static constexpr Duration DefaultTimeout = std::chrono::seconds(4);

  struct Host {
    EntryInstance Address_;
    std::unique_ptr<Entry> Entry_;
    TimePoint ActiveSince_{}; ///< When it last started or resumed.
  };
  struct DepartureState {
    std::optional<TimePoint> KnownSince_;
    /// Empty while the server only refuses requests.
    std::optional<TimePoint> ListedFrom_;
  };

  EntryHooks entryHooks();
  BackendFake::Hooks backendHooks();
  void configure();
  void applyServer(ServerId const &Id, std::string const &ChangeName);
  void start(std::size_t Number);
  void end(std::size_t Number);
  void tick();
  void finishStop(std::size_t Number, std::uint64_t Incarnation);
  bool isRunning(std::size_t Number) const {
    return Hosts_[Number].Entry_ != nullptr;
  }
  void sendToPeer(std::size_t From, SendToPeer const &Message);
  void deliverToPeer(std::size_t To, InstanceId const &From,
                     PeerMessage const &Message);
  void sendToInstance(std::size_t Number, Submission const &Submitted);
  void leaveInstance(RequestId const &Id);
  bool isPartitioned(std::size_t Instance, DataCentre const &Location) const;
  InstanceListing listing() const;
  std::vector<ReclaimNotice> notices(std::size_t Instance, std::size_t From);
  void onWork(ServerId const &Server, AttemptOwner const &Owner);
  void onCrash(ServerId const &Server);
  void reportCrash(ServerId const &Server);
  void applyChange(Change const &Requested, std::size_t Instance);
  void onChangeEnd(Change const &Requested, std::size_t Instance,
                   ChangeResult const &Outcome);
  Change changeNamed(std::string const &Id);

  void injectPlatform(Fault Injected, StepLocation const &Location);
  void injectServers(Fault Injected, StepLocation const &Location);
  void replaceLater(ServerId const &Id, Duration Delay);
  void pause(std::size_t Number);
  void heal();

  void checkCallers(UnknownOutcome Allowed);
  void checkConfiguration();
  void checkAudit();

  Mutants const ActiveMutants_;
  EventQueue Queue_;
  Oracle Oracle_;
  PlatformFake Platform_;
  BackendFake Backends_;
  Callers Callers_;
  EntryHooks const Hooks_;
  std::mt19937_64 Generator_;
  std::vector<Host> Hosts_;
  std::uint64_t NextIncarnation_ = 1;
  std::map<RequestId, std::pair<std::size_t, std::uint64_t>> AssignedInstances_;
  /// In the cloud's order, each with the time when its instance terminates.
  std::vector<std::pair<ReclaimNotice, TimePoint>> Notices_;
  /// The only instance that receives notices; all do if empty.
  std::optional<std::size_t> OnlyNotifiedInstance_;
  std::map<ServerId, DepartureState> Departures_;
  std::set<ServerId>
      PermanentDepartures_; ///< Departing servers that are not replaced.
  bool AreDataCentresPartitioned_ = false;
  /// During a partition, departures may not have reached all instances.
  TimePoint PartitionEndedAt_{};
  bool AreMessagesDuplicated_ = false;
  std::size_t Crashes_ = 0;
  std::uint64_t NextChange_ = 1;

  std::optional<Step> AwaitedStep_;
  std::string AwaitedKey_;
  std::function<void(StepLocation const &)> OnAwaitedStep_;
};

} // namespace laburnum::faults
