#pragma once

#include <LibBackend/BackendClient.h>
#include <LibServing/CallerRequest.h>
#include <LibServing/ClaimVerdict.h>
#include <LibServing/FailureAnswer.h>
#include <LibServing/ServerChooser.h>
#include <LibServing/TokenProgress.h>

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Processing of one accepted request: claim, route, dispatch, recover, answer.
/// A deterministic state machine without sockets, threads or clocks: the driver
/// carries out the actions and returns their results as events. Events of ended
/// attempts are ignored, so late, duplicate and reordered events are harmless.
namespace laburnum {

namespace flow {

// Events.

struct Started {};
struct ClaimResolved {
  ClaimVerdict Verdict_;
};
struct PieceReceived {
  TokenPiece Piece_;
};
struct PlainAttemptEnded {
  AttemptNumber Attempt_ = 0;
  PlainResult Result_;
};
struct CompletionAttemptEnded {
  AttemptNumber Attempt_ = 0;
  CompletionResult Result_;
};
/// A server accepts no new work and will stop after Remaining_.
struct ServerLeaving {
  ServerId Server_;
  Duration Remaining_{};
};
/// The delay of WaitBeforeRetry has passed.
struct RetryDue {};
struct CallerDisconnected {};
struct DeadlineReached {};

using Event =
    std::variant<Started, ClaimResolved, PieceReceived, PlainAttemptEnded,
                 CompletionAttemptEnded, ServerLeaving, RetryDue,
                 CallerDisconnected, DeadlineReached>;

// Actions.

struct MakeClaim {
  AccountName Account_;
  IdempotencyKey Key_;
  std::uint64_t Fingerprint_ = 0;
  auto operator<=>(MakeClaim const &) const = default;
};
struct StartPlainAttempt {
  BackendServer Server_;
  PlainCall Call_;
  auto operator<=>(StartPlainAttempt const &) const = default;
};
struct StartCompletionAttempt {
  BackendServer Server_;
  CompletionCall Call_;
  auto operator<=>(StartCompletionAttempt const &) const = default;
};
/// Stops the attempt and, for an engine, cancels it there.
struct CancelAttempt {
  AttemptNumber Attempt_ = 0;
  auto operator<=>(CancelAttempt const &) const = default;
};
struct SendToken {
  std::uint32_t Offset_ = 0;
  std::string Text_;
  auto operator<=>(SendToken const &) const = default;
};
/// Records the outcome of a claimed call; the answer does not wait for it.
struct RecordOutcome {
  AccountName Account_;
  IdempotencyKey Key_;
  ClaimOutcome Outcome_;
  auto operator<=>(RecordOutcome const &) const = default;
};
struct WaitBeforeRetry {
  Duration Pause_{};
  auto operator<=>(WaitBeforeRetry const &) const = default;
};
/// Each flow ends with one of the three Finish actions.
struct FinishPlain {
  PlainAnswer Answer_;
  auto operator<=>(FinishPlain const &) const = default;
};
struct FinishCompletion {
  std::uint32_t Tokens_ = 0; ///< Total tokens of the completion.
  auto operator<=>(FinishCompletion const &) const = default;
};
struct FinishFailed {
  FailureAnswer Failure_;
  auto operator<=>(FinishFailed const &) const = default;
};

using Action =
    std::variant<MakeClaim, StartPlainAttempt, StartCompletionAttempt,
                 CancelAttempt, SendToken, RecordOutcome, WaitBeforeRetry,
                 FinishPlain, FinishCompletion, FinishFailed>;

} // namespace flow

/// Counters of a request for the metrics.
struct FlowCounts {
  std::uint32_t Attempts_ = 0;
  std::uint32_t Retries_ = 0;
  std::uint32_t Moves_ = 0; ///< Attempts moved because a server was leaving.
  std::uint64_t RecomputedTokens_ = 0;

  auto operator<=>(FlowCounts const &) const = default;
};

class RequestFlow {
public:
  RequestFlow(CallerRequest Request, ServerChooser &Chooser,
              RetryAllowance &Retries);

  std::vector<flow::Action> handle(flow::Event const &Event, TimePoint Now);

  bool isFinished() const { return Finished_; }
  FlowCounts const &counts() const { return Counts_; }

private:
  using Actions = std::vector<flow::Action>;

  enum class Stage { New, Claiming, Attempting, Pausing, Finished };
  enum class ClaimHold { None, Granted };
  enum class CallerPresence { Waiting, Disconnected };

  void on(flow::Started const &, TimePoint Now, Actions &Out);
  void on(flow::ClaimResolved const &Event, TimePoint Now, Actions &Out);
  void on(flow::PieceReceived const &Event, TimePoint Now, Actions &Out);
  void on(flow::PlainAttemptEnded const &Event, TimePoint Now, Actions &Out);
  void on(flow::CompletionAttemptEnded const &Event, TimePoint Now,
          Actions &Out);
  void on(flow::ServerLeaving const &Event, TimePoint Now, Actions &Out);
  void on(flow::RetryDue const &, TimePoint Now, Actions &Out);
  void on(flow::CallerDisconnected const &, TimePoint Now, Actions &Out);
  void on(flow::DeadlineReached const &, TimePoint Now, Actions &Out);

  bool isCurrent(AttemptNumber Attempt) const;
  /// Returns whether earlier flows produced all requested tokens.
  bool hasAllTokens() const;
  bool mayRepeat(RunState Ended) const;
  RouteQuery routeQuery() const;
  void dispatch(TimePoint Now, Actions &Out);
  void startAttempt(BackendServer const &Server, TimePoint Now, Actions &Out);
  void startPlain(BackendServer const &Server, TimePoint Now, Actions &Out);
  void startCompletion(BackendServer const &Server, TimePoint Now,
                       Actions &Out);
  void releaseServer(AttemptEvidence const &Evidence, TimePoint Now);
  void cancelAttempt(TimePoint Now, Actions &Out);
  void moveStream(TimePoint Now, Actions &Out);
  void recover(AttemptEvidence const &Evidence, TimePoint Now, Actions &Out);
  void pauseForRetry(Actions &Out);
  void pause(Duration Length, Actions &Out);
  void finishCompletion(Actions &Out);
  void finishWithAnswer(PlainAnswer const &Answer, RunState State,
                        Actions &Out);
  void finishFailed(FailureAnswer Failure, Actions &Out);
  void record(RunState State, PlainAnswer Answer, Actions &Out);

  CallerRequest Request_;
  ServerChooser &Chooser_;
  RetryAllowance &Retries_;
  FlowCounts Counts_;
  bool Finished_ = false;

  Stage Stage_ = Stage::New;
  ClaimHold ClaimHold_ = ClaimHold::None;
  CallerPresence CallerPresence_ = CallerPresence::Waiting;
  AttemptNumber Attempt_ = 0;
  std::optional<BackendServer> Server_; ///< Chosen and not yet released.
  RouteQuery ChosenWith_;               ///< The query that chose Server_.
  std::set<ServerId> FailedServers_;
  std::set<ServerId> LeavingServers_;
  std::uint32_t FailedAttempts_ = 0;
  RunState CombinedRunState_ =
      RunState::NotRun; ///< Of the attempts that ended.
  TokenProgress Progress_;
};

} // namespace laburnum
