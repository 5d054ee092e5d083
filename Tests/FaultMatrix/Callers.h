#pragma once

#include <FaultMatrix/Entry.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace laburnum::faults {

/// What a caller wants, and what it has.
struct CallerState {
  enum class Status { Open, Answered, Doubtful, Refused };

  CallerRequest Request_;
  TimePoint GiveUpAt_{};
  Duration Patience_{}; ///< Each sending's time to its deadline.
  std::size_t NextInstance_ = 0;
  std::set<RequestId> Open_; ///< Sendings whose end is not known.
  std::uint32_t Tokens_ = 0;
  std::uint32_t Sendings_ = 0;
  Status Status_ = Status::Open;
  bool IsResending_ = false;
  std::uint64_t Signs_ = 0; ///< Signs of life, to see that one is missing.
};

/// Callers that send again until they have their answer: after a refusal, a
/// broken connection or a long silence, always with the same key and through
/// another instance.
class Callers {
public:
  using Send = std::function<void(std::size_t Instance, Sending const &)>;
  using Leave = std::function<void(RequestId const &)>;

  Callers(EventQueue &Queue, Oracle &Truth, Send Send, Leave Leave,
          std::size_t Instances)
      : Queue_(Queue), Oracle_(Truth), Send_(std::move(Send)),
        Leave_(std::move(Leave)), Instances_(Instances) {}

  /// Yields the caller's number.
  std::size_t start(CallerRequest Request, std::size_t Instance,
                    Duration Patience);
  /// Sends the request a second time while the first is under way.
  void sendAgain(std::size_t Caller, std::size_t Instance);

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
  void watchForSilence(std::size_t Caller, std::uint64_t Signs);
  void closeAll(CallerState &Of);
  void onAnswer(CallerState &Of, PlainAnswer const &Answer);
  void onFailure(std::size_t Caller, RequestId const &Id,
                 FailureAnswer const &Failure);

  EventQueue &Queue_;
  Oracle &Oracle_;
  Send Send_;
  Leave Leave_;
  std::size_t const Instances_;
  std::map<std::size_t, CallerState> Callers_;
  std::map<RequestId, std::size_t> Sendings_;
  std::uint64_t NextSending_ = 1;
};

} // namespace laburnum::faults
