#pragma once

#include <FaultMatrix/EventQueue.h>
#include <FaultMatrix/Fault.h>
#include <FaultMatrix/Oracle.h>
#include <FaultMatrix/Step.h>

#include <LibBackend/BackendClient.h>
#include <LibServing/RequestFlow.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace laburnum::faults {

/// Identifies the owner of an attempt.
struct AttemptOwner {
  std::size_t Instance_ = 0;
  std::uint64_t Incarnation_ = 0;
  RequestId Request_;
  AttemptNumber Attempt_ = 0;
  std::string Key_; ///< Of the call, the same for all submissions.

  auto operator<=>(AttemptOwner const &) const = default;
};

/// Faults of the engines.
struct EngineFaults {
  bool ContinuesAfterCancel_ =
      false; ///< With wrong text after the cancellation.
  bool DuplicatesPieces_ = false;
  std::uint32_t TokensToSkip_ =
      0; ///< Number of next streams that skip a token.
  bool IgnoresResumeOffset_ = false; ///< Ignores ResumeFrom_.
};

/// The text of a token of a completion, the same at each engine.
std::string tokenText(std::string const &Prompt, std::uint32_t Offset);
/// The answer of a plain service to a call.
std::string answerText(std::string const &Key);

/// All backend servers, plain and engines, in virtual time.
class BackendFake {
public:
  static constexpr Duration MessageLatency = std::chrono::milliseconds(1);
  static constexpr Duration WorkTime = std::chrono::milliseconds(8);
  static constexpr Duration TokenTime = std::chrono::milliseconds(3);

  /// Callbacks from the fake to the simulation.
  struct Hooks {
    std::function<void(AttemptOwner const &, ServerId const &,
                       flow::Event const &)>
        Deliver_;
    std::function<void(Step, StepLocation const &)> OnStep_;
    std::function<bool(std::size_t, DataCentre const &)> IsCut_;
    std::function<void(ServerId const &, AttemptOwner const &)> OnWork_;
    std::function<void(ServerId const &)> OnCrash_;
  };

  BackendFake(EventQueue &Queue, Oracle &TestOracle,
              Mutants const &ActiveMutants, Hooks Hooks)
      : Queue_(Queue), Oracle_(TestOracle), ActiveMutants_(ActiveMutants),
        Hooks_(std::move(Hooks)) {}

  void add(BackendServer const &Server) { Servers_[Server.Id_] = {Server}; }
  void startPlain(AttemptOwner const &Owner, flow::StartPlainAttempt const &);
  void startCompletion(AttemptOwner const &Owner,
                       flow::StartCompletionAttempt const &);
  void cancel(AttemptOwner const &Owner);

  bool isUp(ServerId const &Id) const { return Servers_.at(Id).IsUp_; }
  BackendServer const &server(ServerId const &Id) const {
    return Servers_.at(Id).Server_;
  }
  std::vector<ServerId> serversIn(DataCentre const &Location) const;

  // Faults.
  void stop(ServerId const &Id);
  void start(ServerId const &Id) { Servers_.at(Id).IsUp_ = true; }
  void setRefusing(ServerId const &Id, bool IsRefusing) {
    Servers_.at(Id).IsRefusing_ = IsRefusing;
  }
  /// The next connection of this call breaks at this progress.
  void breakOnce(std::string const &Key, AttemptProgress At) {
    Breaks_[Key] = At;
  }
  /// The next server that gets this call refuses it.
  void refuseOnce(std::string const &Key) { Refusals_.insert(Key); }
  void setEngineFaults(EngineFaults const &Faults) { EngineFaults_ = Faults; }
  EngineFaults &engineFaults() { return EngineFaults_; }
  void setDuplicates(bool IsEnabled) { IsDuplicating_ = IsEnabled; }

private:
  struct ServerState {
    BackendServer Server_;
    bool IsUp_ = true;
    bool IsRefusing_ = false;
    std::uint64_t Epoch_ = 0; ///< Incremented when its connections break.
  };
  struct Attempt {
    AttemptOwner Owner_;
    ServerId Server_;
    std::uint64_t Epoch_ = 0;
    ServiceKind Kind_ = ServiceKind::Plain;
    CompletionCall Call_;
    AttemptProgress Progress_ = AttemptProgress::NotConnected;
    bool IsCancelled_ = false;
    bool IsOver_ = false;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void connect(AttemptPtr const &ActiveAttempt);
  void send(AttemptPtr const &ActiveAttempt);
  void arrive(AttemptPtr const &ActiveAttempt);
  void work(AttemptPtr const &ActiveAttempt);
  void beginAnswer(AttemptPtr const &ActiveAttempt);
  void produce(AttemptPtr const &ActiveAttempt, std::uint32_t Offset);
  void sendPiece(AttemptPtr const &ActiveAttempt, std::uint32_t Offset);
  bool isBroken(AttemptPtr const &ActiveAttempt, AttemptProgress At);
  void end(AttemptPtr const &ActiveAttempt, AttemptEnd EndKind);
  void deliver(AttemptPtr const &ActiveAttempt, flow::Event const &Event);
  void reportStep(Step Reached, AttemptPtr const &ActiveAttempt);

  EventQueue &Queue_;
  Oracle &Oracle_;
  Mutants const &ActiveMutants_;
  Hooks Hooks_;
  std::map<ServerId, ServerState> Servers_;
  std::map<AttemptOwner, AttemptPtr> Attempts_;
  std::map<std::string, AttemptProgress> Breaks_;
  std::set<std::string> Refusals_;
  EngineFaults EngineFaults_;
  bool IsDuplicating_ = false;
};

} // namespace laburnum::faults
