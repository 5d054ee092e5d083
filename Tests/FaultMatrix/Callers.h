#pragma once

#include <FaultMatrix/Entry.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace laburnum::faults {

/// A caller's request and the state of its answer.
struct CallerState {
  enum class Status { Open, Answered, Indeterminate, Refused };

  CallerRequest Request_;
  TimePoint RetryUntil_{};
  Duration Timeout_{}; ///< From each submission to its deadline.
  std::size_t NextInstance_ = 0;
  std::set<RequestId> OpenSubmissions_; ///< Submissions without a final answer.
  std::uint32_t Tokens_ = 0;
  std::uint32_t Submissions_ = 0;
  Status Status_ = Status::Open;
  bool IsResending_ = false;
  std::uint64_t ProgressCount_ = 0; ///< Counts progress, to detect a stall.
};

/// Callers that submit their request until they have its answer: again after a
/// refusal, a broken connection or a stall, always with the same idempotency
/// key and through another instance.
class Callers {
public:
  using Send = std::function<void(std::size_t Instance, Submission const &)>;
  using Leave = std::function<void(RequestId const &)>;

  Callers(EventQueue &Queue, Oracle &TestOracle, Send Send, Leave Leave,
          std::size_t Instances)
      : Queue_(Queue), Oracle_(TestOracle), Send_(std::move(Send)),
        Leave_(std::move(Leave)), Instances_(Instances) {}

  /// Returns the caller's number.
  std::size_t start(CallerRequest Request, std::size_t Instance,
                    Duration Timeout);
  /// Submits the request again while an earlier submission is in progress.
  void resubmit(std::size_t Caller, std::size_t Instance);

  void onToken(RequestId const &Id, flow::SendToken const &Token);
  void onEnd(RequestId const &Id, FlowEnd const &End);
  /// The connection to the instance broke.
  void onBroken(RequestId const &Id);

  CallerState const &caller(std::size_t Number) const {
    return Callers_.at(Number);
  }
  std::size_t count() const { return Callers_.size(); }
  bool isOpen(RequestId const &Id) const;

private:
  void send(std::size_t Caller, std::size_t Instance);
  void resendLater(std::size_t Caller, Duration Pause);
  void scheduleProgressCheck(std::size_t Caller, std::uint64_t ProgressCount);
  void closeAll(CallerState &State);
  void onAnswer(CallerState &State, PlainAnswer const &Answer);
  void onFailure(std::size_t Caller, RequestId const &Id,
                 FailureAnswer const &Failure);

  EventQueue &Queue_;
  Oracle &Oracle_;
  Send Send_;
  Leave Leave_;
  std::size_t const Instances_;
  std::map<std::size_t, CallerState> Callers_;
  std::map<RequestId, std::size_t> Submissions_;
  std::uint64_t NextSubmission_ = 1;
};

} // namespace laburnum::faults
