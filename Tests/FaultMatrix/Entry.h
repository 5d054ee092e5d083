#pragma once

#include <FaultMatrix/BackendFake.h>
#include <FaultMatrix/PlatformFake.h>

#include <DrainGate.h>
#include <LibFleet/ConfigurationStore.h>
#include <LibFleet/Membership.h>
#include <LibFleet/ServerDirectory.h>
#include <LibServing/ClaimJournal.h>
#include <LibServing/GuardedChooser.h>
#include <LibServing/LeastLoadedChooser.h>
#include <LibServing/RequestFlow.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace laburnum::faults {

/// One submission of a caller's request.
struct Submission {
  CallerRequest Request_;
  std::size_t Caller_ = 0;
};

using FlowEnd =
    std::variant<flow::FinishPlain, flow::FinishCompletion, flow::FinishFailed>;

/// An instance's interface to the simulation.
struct EntryHooks {
  EventQueue &Queue_;
  PlatformFake &Platform_;
  BackendFake &Backends_;
  Oracle &Oracle_;
  Mutants const &ActiveMutants_;
  std::function<void(std::size_t, SendToPeer const &)> SendToPeer_;
  std::function<void(RequestId const &, flow::SendToken const &)> OnToken_;
  std::function<void(RequestId const &, FlowEnd const &)> OnEnd_;
  std::function<InstanceListing()> Listing_;
  std::function<std::vector<ReclaimNotice>(std::size_t, std::size_t)> Notices_;
  /// Called at a step of the flows that does not happen at a server.
  std::function<void(Step, StepLocation const &)> OnStep_;
};

/// A retry budget that is never exhausted.
class UnlimitedRetryAllowance : public RetryAllowance {
public:
  void countRequest(ServiceName const &, TimePoint) override {}
  bool tryTake(ServiceName const &, TimePoint) override { return true; }
};

/// One incarnation of an entry instance: the decision cores connected as in the
/// daemon, with the fakes in place of its clients.
class Entry : private GuardListener {
public:
  Entry(EntryHooks const &Hooks, std::size_t Number, std::uint64_t Incarnation,
        EntryInstance Self);

  EntryInstance const &self() const { return Self_; }
  std::uint64_t incarnation() const { return Incarnation_; }

  void setMembers(std::vector<EntryInstance> const &Others);
  void pause() { IsPaused_ = true; }
  void resume();
  bool isPaused() const { return IsPaused_; }
  /// Runs Work now, or when the instance resumes after a pause.
  void deliver(std::function<void()> Work);

  void tick();
  void accept(Submission const &Submitted);
  void callerDisconnected(RequestId const &Id);
  void onAttempt(AttemptOwner const &Owner, ServerId const &Server,
                 flow::Event const &Event);
  void onPeer(InstanceId const &From, PeerMessage const &Message);
  void onLocalChange(ConfigurationObject const &Object);
  /// Returns the reports to send to the peers.
  std::vector<CrashReport> onCrash(BackendServer const &Server);
  void onCrashReports(std::vector<CrashReport> const &Reports);
  /// Begins a planned stop: notifies the peers and admits no new requests.
  void beginStop();
  std::uint32_t inProgress() const { return Gate_.inProgress(); }
  ConfigurationStore const &configuration() const { return Configuration_; }
  bool knowsOfDeparture(ServerId const &Id) const;
  /// Whether this instance knows of another server of the same service that
  /// accepts work.
  bool knowsAlternativeTo(ServerId const &Excluded) const;

private:
  struct Call {
    Submission Submission_;
    std::optional<DrainGate::ActiveRequest> ActiveRequest_;
    std::unique_ptr<RequestFlow> Flow_;
    AttemptNumber Current_ = 0;
    std::uint32_t ForwardedPieces_ = 0; ///< Pieces forwarded past the flow.
  };

  struct PendingClaim {
    RequestId Request_;
    flow::MakeClaim Claim_;
  };

  /// Runs Work after Delay, unless this incarnation has ended by then.
  void later(Duration Delay, std::function<void()> Work);

  void feed(RequestId const &Id, flow::Event const &Event);
  void feed(claims::Event const &Event);
  void feed(configuration::Event const &Event);
  void feed(servers::Event const &Event);
  void feed(membership::Event const &Event);

  void perform(Call &OwningCall, flow::MakeClaim const &Action);
  void perform(Call &OwningCall, flow::StartPlainAttempt const &Action);
  void perform(Call &OwningCall, flow::StartCompletionAttempt const &Action);
  void perform(Call &OwningCall, flow::CancelAttempt const &Action);
  void perform(Call &OwningCall, flow::SendToken const &Action);
  void perform(Call &OwningCall, flow::RecordOutcome const &Action);
  void perform(Call &OwningCall, flow::WaitBeforeRetry const &Action);
  void perform(Call &OwningCall, flow::FinishPlain const &Action);
  void perform(Call &OwningCall, flow::FinishCompletion const &Action);
  void perform(Call &OwningCall, flow::FinishFailed const &Action);
  void finish(Call &OwningCall, FlowEnd const &End);

  void perform(claims::ReadBucket const &Action);
  void perform(claims::WriteBucket const &Action);
  void perform(claims::ResolveClaim const &Action);
  void perform(configuration::ListCollection const &Action);
  void perform(configuration::WatchCollection const &Action);
  void perform(configuration::SnapshotChanged const &Action);
  void perform(configuration::RaiseAlarm const &) {}
  void perform(membership::MembersChanged const &Action);
  void perform(servers::DirectoryChanged const &Action);
  void perform(SendToPeer const &Action);

  void onGuardNotification(GuardNotification const &Notification) override;
  void notifyPeers(std::vector<CrashReport> const &Reports);
  void classifyBrokenConnection(ServerId const &Server);
  void setGuardPeers(std::vector<Member> const &Members);

  void reportStep(Step Reached) { Hooks_.OnStep_(Reached, {Number_, {}, {}}); }
  void releaseClaim(flow::MakeClaim const &Unused);
  void readPlatform();
  void publish();
  void applyOutOfOrder(ConfigurationObjects const &Message);
  void refuseWhileStopping(Submission const &Submitted);
  AttemptOwner owner(Call const &OwningCall, AttemptNumber Attempt) const;

  EntryHooks const &Hooks_;
  std::size_t const Number_;
  std::uint64_t const Incarnation_;
  EntryInstance const Self_;
  std::shared_ptr<bool> IsAlive_ = std::make_shared<bool>(true);
  bool IsPaused_ = false;
  std::deque<std::function<void()>> Backlog_;

  CrashGuard Guard_;
  LeastLoadedChooser Servers_;
  GuardedChooser Chooser_;
  std::map<InstanceId, Endpoint> Peers_;
  UnlimitedRetryAllowance Allowance_;
  DrainGate Gate_;
  ClaimJournal Journal_;
  ConfigurationStore Configuration_;
  ServerDirectory Directory_;
  Membership Membership_;
  std::map<RequestId, Call> Calls_;
  std::map<claims::Ticket, PendingClaim> PendingClaims_;
  claims::Ticket NextTicket_ = 1;
  std::size_t NextNotice_ = 0;
  std::set<ServerId> Overridden_; ///< Used by Mutant::ListOverridesNotice.
  std::uint64_t Ticks_ = 0;
};

} // namespace laburnum::faults
