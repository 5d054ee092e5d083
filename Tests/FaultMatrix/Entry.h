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

/// One sending of a caller's request.
struct Sending {
  CallerRequest Request_;
  std::size_t Caller_ = 0;
};

using FlowEnd =
    std::variant<flow::FinishPlain, flow::FinishCompletion, flow::FinishFailed>;

/// What an instance needs of the world around it.
struct EntryHooks {
  EventQueue &Queue_;
  PlatformFake &Platform_;
  BackendFake &Backends_;
  Oracle &Oracle_;
  Mutants const &Out_;
  std::function<void(std::size_t, SendToPeer const &)> SendToPeer_;
  std::function<void(RequestId const &, flow::SendToken const &)> TellToken_;
  std::function<void(RequestId const &, FlowEnd const &)> TellEnd_;
  std::function<InstanceListing()> Listing_;
  std::function<std::vector<ReclaimNotice>(std::size_t, std::size_t)> Notices_;
  /// A step of the flows that servers do not see.
  std::function<void(Step, Place const &)> OnStep_;
};

/// Retries are never short of budget in these tests.
class EndlessAllowance : public RetryAllowance {
public:
  void countRequest(ServiceName const &, TimePoint) override {}
  bool tryTake(ServiceName const &, TimePoint) override { return true; }
};

/// One life of an entry instance: the decision cores as the daemon connects
/// them, with the fakes in place of its clients.
class Entry : private GuardListener {
public:
  Entry(EntryHooks const &Hooks, std::size_t Number, std::uint64_t Life,
        EntryInstance Self);

  EntryInstance const &self() const { return Self_; }
  std::uint64_t life() const { return Life_; }

  void setMembers(std::vector<EntryInstance> const &Others);
  void pause() { IsPaused_ = true; }
  void resume();
  bool isPaused() const { return IsPaused_; }
  /// Runs Work now, or when the instance goes on after a pause.
  void deliver(std::function<void()> Work);

  void tick();
  void accept(Sending const &Sent);
  void callerDisconnected(RequestId const &Id);
  void onAttempt(AttemptOwner const &Owner, ServerId const &Server,
                 flow::Event const &Event);
  void onPeer(InstanceId const &From, PeerMessage const &Message);
  void onOwnChange(ConfigurationObject const &Object);
  /// Yields what to tell the peers.
  std::vector<CrashReport> onCrash(BackendServer const &Server);
  void onCrashReports(std::vector<CrashReport> const &Reports);
  /// A planned stop begins: peers know, and no new request is let in.
  void beginStop();
  std::uint32_t inProgress() const { return Gate_.inProgress(); }
  ConfigurationStore const &configuration() const { return Configuration_; }
  bool knowsOfDeparture(ServerId const &Id) const;
  /// Whether another server of the same service takes work, as far as this
  /// instance knows.
  bool knowsAnotherServer(ServerId const &Than) const;

private:
  struct Call {
    Sending Sent_;
    std::optional<DrainGate::Pass> Pass_;
    std::unique_ptr<RequestFlow> Flow_;
    AttemptNumber Current_ = 0;
    std::uint32_t Passed_ = 0; ///< Pieces passed on without the flow.
  };

  struct Claiming {
    RequestId Request_;
    flow::MakeClaim Wanted_;
  };

  /// Does Work a little later, unless this life has ended by then.
  void later(Duration Delay, std::function<void()> Work);

  void feed(RequestId const &Id, flow::Event const &Event);
  void feed(claims::Event const &Event);
  void feed(configuration::Event const &Event);
  void feed(servers::Event const &Event);
  void feed(membership::Event const &Event);

  void perform(Call &Of, flow::MakeClaim const &Action);
  void perform(Call &Of, flow::StartPlainAttempt const &Action);
  void perform(Call &Of, flow::StartCompletionAttempt const &Action);
  void perform(Call &Of, flow::CancelAttempt const &Action);
  void perform(Call &Of, flow::SendToken const &Action);
  void perform(Call &Of, flow::RecordOutcome const &Action);
  void perform(Call &Of, flow::WaitBeforeRetry const &Action);
  void perform(Call &Of, flow::FinishPlain const &Action);
  void perform(Call &Of, flow::FinishCompletion const &Action);
  void perform(Call &Of, flow::FinishFailed const &Action);
  void finish(Call &Of, FlowEnd const &End);

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

  void onGuardNotification(GuardNotification const &News) override;
  void tellPeers(std::vector<CrashReport> const &Reports);
  void judge(ServerId const &Server);
  void setGuardPeers(std::vector<Member> const &Members);

  void tell(Step Reached) { Hooks_.OnStep_(Reached, {Number_, {}, {}}); }
  void giveBack(flow::MakeClaim const &Unused);
  void readPlatform();
  void publish();
  void bypassOrder(ConfigurationObjects const &Message);
  void refuseWhileStopping(Sending const &Sent);
  AttemptOwner owner(Call const &Of, AttemptNumber Attempt) const;

  EntryHooks const &Hooks_;
  std::size_t const Number_;
  std::uint64_t const Life_;
  EntryInstance const Self_;
  std::shared_ptr<bool> IsAlive_ = std::make_shared<bool>(true);
  bool IsPaused_ = false;
  std::deque<std::function<void()>> Backlog_;

  CrashGuard Guard_;
  LeastLoadedChooser Servers_;
  GuardedChooser Chooser_;
  std::map<InstanceId, Endpoint> Peers_;
  EndlessAllowance Allowance_;
  DrainGate Gate_;
  ClaimJournal Journal_;
  ConfigurationStore Configuration_;
  ServerDirectory Directory_;
  Membership Membership_;
  std::map<RequestId, Call> Calls_;
  std::map<claims::Ticket, Claiming> Claiming_;
  claims::Ticket NextTicket_ = 1;
  std::size_t NextNotice_ = 0;
  std::set<ServerId> Overridden_; ///< By the mutant that trusts the list.
  std::uint64_t Ticks_ = 0;
};

} // namespace laburnum::faults
