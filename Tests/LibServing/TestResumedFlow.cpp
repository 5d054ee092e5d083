#include <LibServing/FlowFixture.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::test;

namespace {

CallerRequest resumedRequest(std::uint32_t MaxTokens) {
  auto Request = streamRequest(MaxTokens);
  Request.Produced_ = {"0", "1"};
  Request.ResumeFrom_ = 2;
  return Request;
}

} // namespace

TEST_CASE("A flow resumes after the tokens of an earlier flow") {
  FlowRun Run(resumedRequest(4));
  auto const Started = Run.handle(flow::Started{});
  auto const Attempts = all<flow::StartCompletionAttempt>(Started);
  REQUIRE(Attempts.size() == 1);
  CHECK(Attempts[0].Call_.ResumeFrom_ == 2);
  CHECK(Attempts[0].Call_.Produced_ == std::vector<std::string>{"0", "1"});
  Run.piece(1, 1);
  Run.piece(1, 2);
  Run.piece(1, 3);
  Run.endStream(1, AttemptProgress::AnswerWhole, AttemptEnd::Answered, 5);
  CHECK(Run.sentOffsets() == std::vector<std::uint32_t>{2, 3});
  CHECK(Run.All_.back() == flow::Action(flow::FinishCompletion{4}));
  CHECK(Run.Flow_.counts().RecomputedTokens_ == 5);
}

TEST_CASE("A flow with all its tokens needs no server") {
  FlowRun Run(resumedRequest(2));
  Run.handle(flow::Started{});
  CHECK(Run.Chooser_.Chosen_.empty());
  CHECK(Run.All_ == std::vector<flow::Action>{flow::FinishCompletion{2}});
}

TEST_CASE("A failed resumed flow never reports not run") {
  FlowRun Run(resumedRequest(4));
  Run.Chooser_.Servers_ = {};
  Run.handle(flow::Started{});
  auto const Failures = all<flow::FinishFailed>(Run.All_);
  REQUIRE(Failures.size() == 1);
  CHECK(Failures[0].Failure_.RunState_ == RunState::MayHaveRun);
}
