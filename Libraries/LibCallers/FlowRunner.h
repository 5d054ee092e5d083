#pragma once

#include <LibBackend/BackendClient.h>
#include <LibServing/RequestFlow.h>

#include <deque>
#include <functional>
#include <optional>
#include <variant>

namespace laburnum {

/// Makes claims and records outcomes on behalf of traffic threads.
class ClaimKeeper {
public:
  virtual ~ClaimKeeper() = default;
  /// Blocks until the verdict is known, or until Deadline, which yields
  /// ClaimPending: the claim may still take effect.
  virtual ClaimVerdict claim(flow::MakeClaim const &Wanted,
                             TimePoint Deadline) = 0;
  /// Does not wait.
  virtual void record(flow::RecordOutcome const &Outcome) = 0;
};

/// Tells which backend servers are leaving, to threads that have one in use.
class LeavingServers {
public:
  virtual ~LeavingServers() = default;
  /// How long the server is still there, if it is leaving.
  virtual std::optional<Duration> remaining(ServerId const &Server,
                                            TimePoint Now) const = 0;
};

/// Takes the tokens of a stream in order; No says that the caller has gone.
using TokenSink = std::function<Continue(std::uint32_t, std::string const &)>;

/// How a request ended.
using FlowEnd =
    std::variant<flow::FinishPlain, flow::FinishCompletion, flow::FinishFailed>;

struct FlowReport {
  FlowEnd End_;
  FlowCounts Counts_;

  auto operator<=>(FlowReport const &) const = default;
};

/// What a flow's actions are carried out with.
struct FlowResources {
  ServerChooser &Chooser_;
  RetryAllowance &Retries_;
  BackendClient &Backends_;
  ClaimKeeper &Claims_;
  LeavingServers const &Leaving_;
};

/// Drives one RequestFlow to its end on the calling thread.
class FlowRunner {
public:
  FlowRunner(FlowResources const &Resources, CallerRequest const &Request,
             TokenSink Sink);

  FlowReport run();

private:
  void feed(flow::Event const &Event);
  void perform(flow::Action const &Action);
  void perform(flow::MakeClaim const &Action);
  void perform(flow::StartPlainAttempt const &Action);
  void perform(flow::StartCompletionAttempt const &Action);
  void perform(flow::CancelAttempt const &Action);
  void perform(flow::SendToken const &Action);
  void perform(flow::RecordOutcome const &Action);
  void perform(flow::WaitBeforeRetry const &Action);
  void perform(flow::FinishPlain const &Action) { End_ = Action; }
  void perform(flow::FinishCompletion const &Action) { End_ = Action; }
  void perform(flow::FinishFailed const &Action) { End_ = Action; }

  /// Called for each piece of the attempt in progress.
  Continue takePiece(ServerId const &Server, TokenPiece const &Piece);

  FlowResources const Resources_;
  CallerRequest const Request_;
  TokenSink const Sink_;
  RequestFlow Flow_;
  /// Actions that start something wait here until the attempt in progress,
  /// which holds this thread, has ended.
  std::deque<flow::Action> Pending_;
  AttemptNumber Current_ = 0;
  bool CurrentCancelled_ = false;
  bool ToldLeaving_ = false;
  std::optional<FlowEnd> End_;
};

} // namespace laburnum
