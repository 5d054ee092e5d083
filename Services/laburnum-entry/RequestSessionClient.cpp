// What the client of a request is sent.

#include "RequestSession.h"

namespace laburnum {

using namespace exchange;

namespace {

/// Streams with more unwritten bytes are aborted: the client is not reading.
constexpr std::size_t MaxUnwrittenBytes = std::size_t{1} << 20;
constexpr std::int32_t ServiceUnavailable = 503;

} // namespace

void RequestSession::on(SendCompleteAnswer const &Action) {
  Exchange_->answer(Action.Head_, Action.Body_);
  finish(Outcome::Answered, Action.Head_.Status_, {});
  Plane_.limitUnwritten();
}

void RequestSession::on(BeginStream const &Action) {
  RelayedStatus_ = Action.Head_.Status_;
  auto Head = Action.Head_;
  if (FlowContext_.Metadata_.Peer_.Support_ == PeerFieldSupport::Full)
    setPeerFields(Head.Fields_, Flow_.origin());
  Exchange_->beginStream(Head);
}

void RequestSession::on(RelayEvents const &Action) {
  Exchange_->send(Action.Bytes_);
  if (Exchange_->unwrittenBytes() <= MaxUnwrittenBytes)
    return Plane_.limitUnwritten();
  Exchange_->abort();
  handle(ClientLeft{});
  finish(Outcome::Aborted, RelayedStatus_,
         "the client does not read its stream");
}

void RequestSession::on(FinishStream const &Action) {
  Exchange_->finishStream();
  Plane_.Origins_.onFinished(BegunStream_);
  finish(Outcome::Answered, RelayedStatus_,
         Action.End_ == AnswerEnd::Unmarked ? "the end was not confirmed" : "");
}

void RequestSession::on(AbortStream const &Action) {
  Exchange_->abort();
  finish(Outcome::Aborted, RelayedStatus_, Action.Reason_);
}

void RequestSession::on(Refuse const &Action) {
  Exchange_->answer(Plane_.Dependencies_.TrafficCodec_.refusal(
                        Action.Status_, Action.RetryAfter_,
                        FlowContext_.Metadata_.AttemptId_),
                    {});
  RefusalRetryAfter_ = Action.RetryAfter_;
  finish(Action.Status_ == ServiceUnavailable ? Outcome::Refused
                                              : Outcome::Failed,
         Action.Status_, Action.Reason_);
}

void RequestSession::onClientLeft() {
  if (IsFinished_)
    return;
  handle(ClientLeft{});
  finish(Outcome::ClientLeft, 0, {});
}

} // namespace laburnum
