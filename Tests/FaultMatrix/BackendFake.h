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

/// Whose attempt it is.
struct AttemptOwner {
  std::size_t Instance_ = 0;
  std::uint64_t Life_ = 0;
  RequestId Request_;
  AttemptNumber Attempt_ = 0;
  std::string Key_; ///< Names the call whatever the sending.

  auto operator<=>(AttemptOwner const &) const = default;
};

/// How an engine misbehaves.
struct EngineHabits {
  bool GoesOnAfterCancel_ = false; ///< Its text is wrong from then on.
  bool SendsTwice_ = false;
  std::uint32_t Skips_ = 0;     ///< So many next streams lack one token.
  bool StartsFromZero_ = false; ///< Ignores ResumeFrom_.
};

/// The text of a token of a completion: the same at each engine.
std::string tokenText(std::string const &Prompt, std::uint32_t Offset);
/// The answer of a call of a plain service.
std::string answerText(std::string const &Key);

/// All backend servers, plain and engines, in virtual time.
class BackendFake {
public:
  static constexpr Duration Hop = std::chrono::milliseconds(1);
  static constexpr Duration WorkTime = std::chrono::milliseconds(8);
  static constexpr Duration TokenTime = std::chrono::milliseconds(3);

  /// What the fake tells the rest of a test.
  struct Hooks {
    std::function<void(AttemptOwner const &, ServerId const &,
                       flow::Event const &)>
        Deliver_;
    std::function<void(Step, Place const &)> OnStep_;
    std::function<bool(std::size_t, DataCentre const &)> IsCut_;
    std::function<void(ServerId const &, AttemptOwner const &)> OnWork_;
    std::function<void(ServerId const &)> OnCrash_;
  };

  BackendFake(EventQueue &Queue, Oracle &Truth, Mutants const &Out, Hooks Hooks)
      : Queue_(Queue), Oracle_(Truth), Out_(Out), Hooks_(std::move(Hooks)) {}

  void add(BackendServer const &Server) { Servers_[Server.Id_] = {Server}; }
  void startPlain(AttemptOwner const &Owner, flow::StartPlainAttempt const &);
  void startCompletion(AttemptOwner const &Owner,
                       flow::StartCompletionAttempt const &);
  void cancel(AttemptOwner const &Owner);

  bool isUp(ServerId const &Id) const { return Servers_.at(Id).IsUp_; }
  BackendServer const &server(ServerId const &Id) const {
    return Servers_.at(Id).Server_;
  }
  std::vector<ServerId> serversIn(DataCentre const &Where) const;

  // Faults.
  void stop(ServerId const &Id);
  void start(ServerId const &Id) { Servers_.at(Id).IsUp_ = true; }
  void setRefusing(ServerId const &Id, bool IsRefusing) {
    Servers_.at(Id).IsRefusing_ = IsRefusing;
  }
  /// The next connection of this call breaks when it has got so far.
  void breakOnce(std::string const &Key, AttemptProgress At) {
    Breaks_[Key] = At;
  }
  /// The next server that gets this call refuses it.
  void refuseOnce(std::string const &Key) { Refusals_.insert(Key); }
  void setHabits(EngineHabits const &Habits) { Habits_ = Habits; }
  EngineHabits &habits() { return Habits_; }
  void setDuplicates(bool Wanted) { IsDuplicating_ = Wanted; }

private:
  struct ServerState {
    BackendServer Server_;
    bool IsUp_ = true;
    bool IsRefusing_ = false;
    std::uint64_t Epoch_ = 0; ///< Raised whenever its connections break.
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
  using Open = std::shared_ptr<Attempt>;

  void connect(Open const &One);
  void send(Open const &One);
  void arrive(Open const &One);
  void work(Open const &One);
  void beginAnswer(Open const &One);
  void produce(Open const &One, std::uint32_t Offset);
  void sendPiece(Open const &One, std::uint32_t Offset);
  bool isBroken(Open const &One, AttemptProgress At);
  void end(Open const &One, AttemptEnd How);
  void deliver(Open const &One, flow::Event const &Event);
  void tell(Step Reached, Open const &One);

  EventQueue &Queue_;
  Oracle &Oracle_;
  Mutants const &Out_;
  Hooks Hooks_;
  std::map<ServerId, ServerState> Servers_;
  std::map<AttemptOwner, Open> Attempts_;
  std::map<std::string, AttemptProgress> Breaks_;
  std::set<std::string> Refusals_;
  EngineHabits Habits_;
  bool IsDuplicating_ = false;
};

} // namespace laburnum::faults
