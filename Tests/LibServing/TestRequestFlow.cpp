#include <LibServing/FlowFixture.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::test;

namespace {

FailureAnswer failureOf(FlowRun const &Run) {
  auto const Failures = all<flow::FinishFailed>(Run.All_);
  REQUIRE(Failures.size() == 1);
  REQUIRE(std::holds_alternative<flow::FinishFailed>(Run.All_.back()));
  return Failures.front().Failure_;
}

std::vector<RunState> recorded(FlowRun const &Run) {
  std::vector<RunState> States;
  for (auto const &One : all<flow::RecordOutcome>(Run.All_))
    States.push_back(One.Outcome_.RunState_);
  return States;
}

void startClaimed(FlowRun &Run) {
  auto const First = Run.handle(flow::Started{});
  REQUIRE(all<flow::MakeClaim>(First).size() == 1);
  REQUIRE(First.size() == 1);
  Run.handle(flow::ClaimResolved{ClaimGranted{}});
}

} // namespace

TEST_CASE("An idempotent call is retried on another server") {
  FlowRun Run(plainRequest(Idempotence::Idempotent));
  Run.handle(flow::Started{});
  auto const Ended = Run.endPlain(1, AttemptProgress::RequestSent,
                                  AttemptEnd::ConnectionFailed);
  REQUIRE(all<flow::WaitBeforeRetry>(Ended).size() == 1);
  Run.handle(flow::RetryDue{});
  Run.endPlain(2, AttemptProgress::AnswerWhole, AttemptEnd::Answered, 200);
  CHECK(Run.Chooser_.Chosen_ == std::vector<std::string>{"a", "b"});
  CHECK(Run.Chooser_.Released_ == Run.Chooser_.Chosen_);
  CHECK(std::holds_alternative<flow::FinishPlain>(Run.All_.back()));
  CHECK(Run.finishes() == 1);
  CHECK(recorded(Run).empty());
  CHECK(Run.Flow_.counts() == FlowCounts{2, 1, 0, 0});
}

TEST_CASE("A retry needs a budget and time before the deadline") {
  FlowRun Run(plainRequest(Idempotence::Idempotent));
  Run.handle(flow::Started{});
  Duration Late{};
  SECTION("no budget") { Run.Allowance_.RemainingRetries_ = 0; }
  SECTION("no time") { Late = seconds(10) - milliseconds(1); }
  PlainResult Broken;
  Broken.Evidence_.Progress_ = AttemptProgress::RequestSent;
  Run.handle(flow::PlainAttemptEnded{1, Broken}, Late);
  CHECK(failureOf(Run).Error_.Kind_ == ErrorKind::Unavailable);
  CHECK(failureOf(Run).RunState_ == RunState::MayHaveRun);
  CHECK(Run.Chooser_.Chosen_.size() == 1);
}

TEST_CASE("A non-idempotent call that may have run is not dispatched again") {
  FlowRun Run(plainRequest(Idempotence::NonIdempotent));
  startClaimed(Run);
  auto const Progress =
      GENERATE(AttemptProgress::RequestSent, AttemptProgress::AnswerBegun);
  Run.endPlain(1, Progress, AttemptEnd::ConnectionFailed);
  CHECK(failureOf(Run).Error_.Kind_ == ErrorKind::OutcomeUnknown);
  CHECK(failureOf(Run).RunState_ == RunState::MayHaveRun);
  CHECK(recorded(Run) == std::vector{RunState::MayHaveRun});
  CHECK(all<flow::StartPlainAttempt>(Run.All_).size() == 1);
}

TEST_CASE("A non-idempotent call that did not run is dispatched again") {
  FlowRun Run(plainRequest(Idempotence::NonIdempotent));
  startClaimed(Run);
  Run.endPlain(1, AttemptProgress::AnswerWhole, AttemptEnd::Refused, 503);
  Run.handle(flow::RetryDue{});
  Run.Allowance_.RemainingRetries_ = 0;
  SECTION("and its definite outcome is recorded") {
    Run.endPlain(2, AttemptProgress::Connected, AttemptEnd::ConnectionFailed);
    CHECK(failureOf(Run).RunState_ == RunState::NotRun);
    CHECK(recorded(Run) == std::vector{RunState::NotRun});
  }
  SECTION("and a server error is its answer") {
    Run.endPlain(2, AttemptProgress::AnswerWhole, AttemptEnd::Answered, 503);
    CHECK(all<flow::FinishPlain>(Run.All_).front().Answer_.Status_ == 503);
    CHECK(recorded(Run) == std::vector{RunState::Ran});
  }
  CHECK(all<flow::StartPlainAttempt>(Run.All_).size() == 2);
}

TEST_CASE("A claim that is not granted dispatches nothing") {
  FlowRun Run(plainRequest(Idempotence::NonIdempotent));
  Run.handle(flow::Started{});
  SECTION("answered") {
    Run.handle(flow::ClaimResolved{ClaimAnswered{{201, "t", "kept"}}});
    CHECK(std::get<flow::FinishPlain>(Run.All_.back()).Answer_.Body_ == "kept");
  }
  SECTION("pending") {
    Run.handle(flow::ClaimResolved{ClaimPending{}});
    CHECK(failureOf(Run).RunState_ == RunState::MayHaveRun);
    CHECK(failureOf(Run).RetryAfter_.has_value());
  }
  SECTION("key reused") {
    Run.handle(flow::ClaimResolved{ClaimKeyReused{}});
    CHECK(failureOf(Run).Error_.Kind_ == ErrorKind::InvalidArgument);
    CHECK(failureOf(Run).RunState_ == RunState::NotRun);
  }
  SECTION("unavailable") {
    Run.handle(flow::ClaimResolved{ClaimUnavailable{seconds(2)}});
    CHECK(failureOf(Run).Error_.Kind_ == ErrorKind::Unavailable);
    CHECK(failureOf(Run).RunState_ == RunState::NotRun);
    CHECK(failureOf(Run).RetryAfter_ == Duration(seconds(2)));
  }
  CHECK(Run.Chooser_.Chosen_.empty());
  CHECK(recorded(Run).empty());
}

TEST_CASE("A stream neither loses nor repeats tokens when its attempt fails") {
  FlowRun Run(streamRequest(5));
  Run.handle(flow::Started{});
  Run.piece(1, 0);
  Run.piece(1, 1);
  Run.piece(1, 1);
  SECTION("the connection broke") {
    Run.endStream(1, AttemptProgress::AnswerBegun,
                  AttemptEnd::ConnectionFailed);
  }
  SECTION("a token is missing") { Run.piece(1, 3); }
  Run.handle(flow::RetryDue{});
  auto const Calls = all<flow::StartCompletionAttempt>(Run.All_);
  REQUIRE(Calls.size() == 2);
  CHECK(Calls[1].Call_.ResumeFrom_ == 2);
  CHECK(Calls[1].Call_.Produced_ == std::vector<std::string>{"0", "1"});
  Run.piece(1, 2); // Late, from the attempt that is over.
  CHECK(Run.sentOffsets() == std::vector<std::uint32_t>{0, 1});
  Run.piece(2, 2);
  Run.piece(2, 3);
  Run.piece(2, 4);
  Run.endStream(2, AttemptProgress::AnswerWhole, AttemptEnd::Answered, 7);
  CHECK(Run.sentOffsets() == std::vector<std::uint32_t>{0, 1, 2, 3, 4});
  CHECK(std::get<flow::FinishCompletion>(Run.All_.back()).Tokens_ == 5);
  CHECK(Run.Flow_.counts() == FlowCounts{2, 1, 0, 7});
  CHECK(Run.Chooser_.Released_ == Run.Chooser_.Chosen_);
}

TEST_CASE("A resuming caller gets only the tokens that it lacks") {
  auto Request = streamRequest(4);
  Request.ResumeFrom_ = 2;
  FlowRun Run(Request);
  Run.handle(flow::Started{});
  for (std::uint32_t Offset = 0; Offset < 4; ++Offset)
    Run.piece(1, Offset);
  CHECK(Run.sentOffsets() == std::vector<std::uint32_t>{2, 3});
}

TEST_CASE("A stream moves from a leaving server only if it would not complete "
          "there") {
  FlowRun Run(streamRequest(10));
  Run.Allowance_.RemainingRetries_ = 0;
  Run.handle(flow::Started{});
  Run.piece(1, 0, milliseconds(100));
  Run.piece(1, 1, milliseconds(200)); // 8 more tokens take 800 ms.
  SECTION("it stays") {
    Run.handle(flow::ServerLeaving{ServerId("a"), milliseconds(900)});
    CHECK(Run.Flow_.counts().Moves_ == 0);
    Run.endStream(1, AttemptProgress::AnswerBegun,
                  AttemptEnd::ConnectionFailed);
  }
  SECTION("it moves") {
    Run.handle(flow::ServerLeaving{ServerId("a"), milliseconds(700)});
    CHECK(all<flow::CancelAttempt>(Run.All_).size() == 1);
  }
  CHECK(Run.Flow_.counts() == FlowCounts{2, 0, 1, 0});
  CHECK(Run.Chooser_.Chosen_ == std::vector<std::string>{"a", "b"});
  CHECK(Run.Chooser_.Released_ == std::vector<std::string>{"a"});
  CHECK_FALSE(Run.Flow_.isFinished());
}

TEST_CASE("A stream without another server stays on its leaving server") {
  FlowRun Run(streamRequest(10));
  Run.Chooser_.Servers_ = {"a"};
  Run.handle(flow::Started{});
  CHECK(
      Run.handle(flow::ServerLeaving{ServerId("a"), milliseconds(1)}).empty());
}

TEST_CASE("A plain call on a leaving server is not moved") {
  FlowRun Run(plainRequest(Idempotence::Idempotent));
  Run.handle(flow::Started{});
  CHECK(
      Run.handle(flow::ServerLeaving{ServerId("a"), milliseconds(1)}).empty());
}

TEST_CASE("A disconnected caller cancels only repeatable calls") {
  FlowRun Stream(streamRequest(10));
  Stream.handle(flow::Started{});
  Stream.handle(flow::CallerDisconnected{});
  CHECK(all<flow::CancelAttempt>(Stream.All_).size() == 1);
  CHECK(Stream.Flow_.isFinished());

  FlowRun Claimed(plainRequest(Idempotence::NonIdempotent));
  startClaimed(Claimed);
  CHECK(Claimed.handle(flow::CallerDisconnected{}).empty());
  Claimed.endPlain(1, AttemptProgress::AnswerWhole, AttemptEnd::Answered, 200);
  CHECK(recorded(Claimed) == std::vector{RunState::Ran});

  FlowRun Claiming(plainRequest(Idempotence::NonIdempotent));
  Claiming.handle(flow::Started{});
  CHECK(Claiming.handle(flow::CallerDisconnected{}).empty());
  Claiming.handle(flow::ClaimResolved{ClaimGranted{}});
  CHECK(recorded(Claiming) == std::vector{RunState::NotRun});
  CHECK(Claiming.Chooser_.Chosen_.empty());
}

TEST_CASE("The deadline ends a request immediately and only once") {
  FlowRun Run(plainRequest(Idempotence::NonIdempotent));
  startClaimed(Run);
  Run.handle(flow::DeadlineReached{}, seconds(10));
  CHECK(failureOf(Run).Error_.Kind_ == ErrorKind::DeadlineExceeded);
  CHECK(failureOf(Run).RunState_ == RunState::MayHaveRun);
  CHECK(recorded(Run) == std::vector{RunState::MayHaveRun});
  CHECK(Run.endPlain(1, AttemptProgress::AnswerWhole, AttemptEnd::Answered, 200)
            .empty());
  CHECK(Run.handle(flow::DeadlineReached{}).empty());
  CHECK(Run.finishes() == 1);
  CHECK(Run.Chooser_.Released_.size() == 1);
}

TEST_CASE("The reported run state follows the evidence") {
  using P = AttemptProgress;
  using E = AttemptEnd;
  CHECK(runStateOf({P::NotConnected, E::ConnectionFailed, 0, ""}) ==
        RunState::NotRun);
  CHECK(runStateOf({P::Connected, E::TimedOut, 0, ""}) == RunState::NotRun);
  CHECK(runStateOf({P::RequestSent, E::TimedOut, 0, ""}) ==
        RunState::MayHaveRun);
  CHECK(runStateOf({P::AnswerBegun, E::ConnectionFailed, 500, ""}) ==
        RunState::MayHaveRun);
  CHECK(runStateOf({P::AnswerWhole, E::Answered, 500, ""}) == RunState::Ran);
  CHECK(runStateOf({P::AnswerWhole, E::Refused, 503, ""}) == RunState::NotRun);
  FailureAnswer const Failure{
      {ErrorKind::Unavailable, "m\xff", "r"}, RunState::NotRun, Duration(1500)};
  auto const Json = toJson(Failure, RequestId("r1"));
  CHECK(Json.find("\"run_state\":\"not_run\"") != std::string::npos);
  CHECK(Json.find("\"retry_after_ms\":2") != std::string::npos);
  CHECK(httpStatusOf(ErrorKind::Unavailable) == 503);
}
