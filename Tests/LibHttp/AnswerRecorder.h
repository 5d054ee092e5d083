#pragma once

#include <LibHttp/OutboundCall.h>

#include <optional>
#include <string>

namespace laburnum::test {

/// Records the events of a call.
struct AnswerRecorder : AnswerObserver {
  HeadDecision onHead(AnswerHead const &Head) override {
    auto const Id = Head.Fields_.valueOr("Id", "mine");
    return Id == "mine"        ? HeadDecision::Take
           : Id == "head only" ? HeadDecision::TakeHead
                               : HeadDecision::Skip;
  }
  void onBody(std::string_view Bytes) override { Body_ += Bytes; }
  void onComplete() override { IsComplete_ = true; }
  void onOtherProcess(std::string const &Process) override {
    OtherProcess_ = Process;
    HasFailedBefore_ = Evidence_.has_value();
  }
  void onUnidentified(DecideUnidentified const &Decide) override {
    IsUnidentified_ = true;
    Decide(UnidentifiedUse::Allowed);
  }
  void onFailed(AttemptEvidence const &Evidence) override {
    Evidence_ = Evidence;
  }
  bool isOver() const { return IsComplete_ || Evidence_; }

  std::string Body_;
  bool IsComplete_ = false;
  std::optional<AttemptEvidence> Evidence_;
  std::optional<std::string> OtherProcess_;
  bool IsUnidentified_ = false;
  bool HasFailedBefore_ = false; ///< Before onOtherProcess().
};

} // namespace laburnum::test
