#pragma once

#include <LibBackend/BackendClient.h>
#include <LibServing/RequestFlow.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace laburnum {

/// Makes claims and records outcomes for the threads that serve requests.
class ClaimClient {
public:
  virtual ~ClaimClient() = default;
  /// Blocks until the verdict is known. At Deadline it returns ClaimPending:
  /// the claim may still take effect.
  virtual ClaimVerdict claim(flow::MakeClaim const &Wanted,
                             TimePoint Deadline) = 0;
  /// Records the outcome asynchronously.
  virtual void record(flow::RecordOutcome const &Outcome) = 0;
};

/// Reports which backend servers are leaving. Thread-safe.
class LeavingServers {
public:
  virtual ~LeavingServers() = default;
  /// The remaining time of the server if it is leaving, or nullopt.
  virtual std::optional<Duration> remaining(ServerId const &Server,
                                            TimePoint Now) const = 0;
};

/// Receives the tokens of a stream in order; No means that the caller has
/// disconnected.
using TokenSink = std::function<Continue(std::uint32_t, std::string const &)>;

/// How a request ended.
using FlowEnd =
    std::variant<flow::FinishPlain, flow::FinishCompletion, flow::FinishFailed>;

struct FlowReport {
  FlowEnd End_;
  FlowCounts Counts_;
  std::shared_ptr<void const> AnswerMemory_; ///< See PlainResult.

  auto operator<=>(FlowReport const &) const = default;
};

/// The interfaces by which a flow's actions are carried out.
struct FlowResources {
  ServerChooser &Chooser_;
  RetryAllowance &Retries_;
  BackendClient &Backends_;
  ClaimClient &Claims_;
  LeavingServers const &Leaving_;
};

/// Runs one RequestFlow to its end on the calling thread.
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

  /// Handles a piece of the attempt in progress.
  Continue takePiece(ServerId const &Server, TokenPiece const &Piece);

  FlowResources const Resources_;
  CallerRequest const Request_;
  TokenSink const Sink_;
  RequestFlow Flow_;
  /// Actions that start an operation, queued until the attempt in progress,
  /// which occupies this thread, has ended.
  std::deque<flow::Action> Pending_;
  AttemptNumber CurrentAttempt_ = 0;
  bool IsCurrentCancelled_ = false;
  bool HasReportedLeaving_ = false;
  std::optional<FlowEnd> End_;
  std::shared_ptr<void const> AnswerMemory_;
};

} // namespace laburnum
