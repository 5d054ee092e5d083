#include "FlowHarness.h"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::exchange;
using namespace laburnum::test;

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A complete answer is forwarded") {
  Harness Run(routeOf(Repeatability::Never, AnswerForm::Complete));
  REQUIRE(Run.find<RequestServer>());
  Run.attempt("a");
  REQUIRE(Run.find<SendAttempt>());
  CHECK(Run.find<SendAttempt>()->Metadata_.TimeLeft_ == seconds(2));
  Run.complete(Signed, "body");
  REQUIRE(Run.find<SendCompleteAnswer>());
  CHECK(Run.find<SendCompleteAnswer>()->Body_ == "body");
  CHECK(Run.find<CountRun>());
  CHECK(Run.Flow_->isOver());
}

TEST_CASE("A non-repeatable request is never retried once it may have run") {
  Harness Run(routeOf(Repeatability::Never, AnswerForm::Complete));
  Run.attempt("a");
  SECTION("reset after it was sent") {
    Run.handle(failure(AttemptProgress::RequestSent));
  }
  SECTION("reset inside the answer") {
    Run.handle(HeadArrived{Signed});
    Run.handle(failure(AttemptProgress::AnswerBegun));
  }
  SECTION("an answer without a signature") {
    Run.complete(answer(AnswerClaim::Untrusted, 200), "rot");
  }
  SECTION("a failure with a status that guarantees not run") {
    Run.complete(answer(AnswerClaim::Failed, GENERATE(408, 421, 429, 503)));
  }
  REQUIRE(Run.find<Refuse>());
  CHECK(Run.find<Refuse>()->Status_ == 502);
  CHECK_FALSE(Run.find<RequestServer>());
  CHECK(Run.RetryGate_.Calls_ == 0);
}

TEST_CASE(
    "A request that is known not to have run is retried on another server") {
  Harness Run(routeOf(Repeatability::Never, AnswerForm::Complete));
  Run.attempt("a");
  SECTION("no connection") {
    Run.handle(failure(AttemptProgress::NotConnected));
  }
  SECTION("refused by the server") {
    Run.complete(answer(AnswerClaim::NotRun, 503));
  }
  REQUIRE(Run.find<RequestServer>());
  CHECK(Run.find<RequestServer>()->Excluded_ ==
        std::set{incarnationOf(server("a"))});
  Run.attempt("b");
  Run.complete(Signed);
  CHECK(Run.find<SendCompleteAnswer>());
}

TEST_CASE(
    "Status 503 with Retry-After is sent only if the request has not run") {
  Harness Run(routeOf(Repeatability::Repeatable, AnswerForm::Complete));
  SECTION("no server at all") {
    Run.handle(NoServer{"full", milliseconds(300)});
    REQUIRE(Run.find<Refuse>());
    CHECK(Run.find<Refuse>()->Status_ == 503);
    CHECK(Run.find<Refuse>()->RetryAfter_ == milliseconds(300));
  }
  SECTION("no second server after one that may have run it") {
    Run.attempt("a");
    Run.handle(failure(AttemptProgress::RequestSent));
    REQUIRE(Run.find<RequestServer>());
    Run.handle(NoServer{"full", milliseconds(300)});
    REQUIRE(Run.find<Refuse>());
    CHECK(Run.find<Refuse>()->Status_ == 502);
    CHECK_FALSE(Run.find<Refuse>()->RetryAfter_);
  }
  SECTION("refusals only, and no budget for another") {
    Run.RetryGate_.IsOpen_ = false;
    Run.attempt("a");
    Run.complete(answer(AnswerClaim::NotRun, 503));
    REQUIRE(Run.find<Refuse>());
    CHECK(Run.find<Refuse>()->Status_ == 503);
    CHECK(Run.find<Refuse>()->RetryAfter_);
  }
}

TEST_CASE(
    "A server's failure answer is relayed unchanged when no attempt is left") {
  Harness Run(routeOf(Repeatability::Repeatable, AnswerForm::Complete));
  Run.attempt("a");
  Run.complete(answer(AnswerClaim::Failed, 500), "first");
  REQUIRE(Run.find<RequestServer>());
  Run.attempt("b");
  Run.complete(answer(AnswerClaim::Failed, 500), "second");
  REQUIRE(Run.find<SendCompleteAnswer>());
  CHECK(Run.find<SendCompleteAnswer>()->Head_.Status_ == 500);
  CHECK(Run.find<SendCompleteAnswer>()->Body_ == "second");
}

TEST_CASE(
    "The route's maximum of attempts limits the attempts that may have run") {
  Harness Run(routeOf(Repeatability::Repeatable, AnswerForm::Complete));
  Run.attempt("a");
  Run.handle(failure(AttemptProgress::RequestSent));
  Run.attempt("b");
  Run.handle(failure(AttemptProgress::RequestSent));
  CHECK_FALSE(Run.find<RequestServer>());
  CHECK(Run.find<Refuse>()->Status_ == 502);
}

TEST_CASE("A client that disconnects cancels its attempt or its wait") {
  Harness Run(routeOf(Repeatability::Never, AnswerForm::Complete));
  SECTION("waiting") {
    Run.handle(ClientLeft{});
    CHECK(Run.find<CancelServerRequest>());
  }
  SECTION("attempting") {
    Run.attempt("a");
    Run.handle(ClientLeft{});
    CHECK(Run.find<CancelAttempt>());
  }
  CHECK(Run.Flow_->isOver());
}

TEST_CASE("The final answer is sent as soon as the deadline passes") {
  Harness Run(routeOf(Repeatability::Never, AnswerForm::Complete));
  SECTION("not sent") {
    Run.Now_ += seconds(2);
    Run.handle(TimePassed{});
    CHECK(Run.find<Refuse>()->Status_ == 503);
  }
  SECTION("sent") {
    Run.attempt("a");
    Run.Now_ += seconds(2);
    Run.handle(TimePassed{});
    CHECK(Run.find<Refuse>()->Status_ == 504);
  }
  SECTION("a server assigned only then, after the process was suspended") {
    Run.Now_ += seconds(60);
    Run.attempt("a");
    CHECK_FALSE(Run.find<SendAttempt>());
    CHECK(Run.find<Refuse>()->Status_ == 503);
  }
}

TEST_CASE("A request that failed at an incarnation may go to the next one") {
  Harness Run(routeOf(Repeatability::Never, AnswerForm::Complete));
  ServerRoster Roster({}, 1);
  auto Server = server("a");
  Server.IncarnationStartMilliseconds_ = 1;
  Roster.update(Server);
  Run.handle(ServerAssigned{Server});
  Run.handle(failure(AttemptProgress::NotConnected));
  REQUIRE(Run.find<RequestServer>());
  ServerQuery const Query{{}, Run.find<RequestServer>()->Excluded_, {}};
  CHECK_FALSE(Roster.choose(Query, Run.Now_));
  Server.IncarnationStartMilliseconds_ = 2;
  Roster.update(Server);
  CHECK(Roster.hasMatch(Query));
  CHECK(Roster.choose(Query, Run.Now_) == Server);
}

TEST_CASE("An attempt that did not connect takes no retry from the budget") {
  Harness Run(routeOf(Repeatability::Never, AnswerForm::Complete));
  Run.RetryGate_.IsOpen_ = false;
  Run.attempt("a");
  Run.handle(failure(AttemptProgress::NotConnected));
  CHECK(Run.Last_ ==
        std::vector<Action>{RequestServer{{incarnationOf(server("a"))}}});
  CHECK(Run.RetryGate_.Calls_ == 0);
  // An attempt that may have reached its server does.
  Run.attempt("b");
  Run.handle(HeadArrived{answer(AnswerClaim::NotRun, 503)});
  Run.handle(AnswerCompleted{});
  CHECK(Run.RetryGate_.Calls_ == 1);
  CHECK(Run.Flow_->isOver());
}

TEST_CASE(
    "A begun stream takes what the client has, and its origin, to another "
    "instance and back") {
  RequestMetadata Metadata;
  Metadata.AttemptId_ = "a1";
  Harness Run(routeOf(Repeatability::Resumable, AnswerForm::EventStream),
              Metadata);
  auto First = server("a");
  First.Service_ = ServiceName("desk");
  First.SoftwareVersion_ = "v2";
  StreamOrigin const Origin{ServiceName("desk"), "v2"};
  Run.handle(ServerAssigned{First});
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"id: 1\n\nid: 2\n\n"});
  Run.handle(failure(AttemptProgress::AnswerBegun));
  Run.handle(ServerAssigned{server("peer"), ServerAccess::ThroughPeer});
  REQUIRE(Run.find<SendAttempt>());
  auto const Sent = Run.find<SendAttempt>()->Metadata_;
  CHECK(Sent.LastEventId_ == 2);
  CHECK(Sent.FirstAttemptId_ == "a1");
  CHECK(Sent.Origin_ == Origin);
  Run.handle(failure(AttemptProgress::NotConnected));
  REQUIRE(Run.find<RequestServer>());
  CHECK(Run.find<RequestServer>()->Origin_ == Origin);
}

TEST_CASE(
    "A stream passed on by an instance of an older release is refused, as "
    "it does not state what the client has") {
  RequestMetadata Metadata;
  Metadata.AttemptId_ = "a1";
  auto const Repeat =
      GENERATE(Repeatability::Resumable, Repeatability::Repeatable);
  bool const IsStated = GENERATE(false, true);
  if (IsStated)
    Metadata.Peer_.Support_ = PeerFieldSupport::Full;
  Harness const Run(routeOf(Repeat, Repeat == Repeatability::Resumable
                                        ? AnswerForm::EventStream
                                        : AnswerForm::Complete),
                    Metadata, RequestSource::Peer);
  bool const IsRefused = !IsStated && Repeat == Repeatability::Resumable;
  CHECK((Run.find<RequestServer>() == nullptr) == IsRefused);
  CHECK((Run.find<Refuse>() != nullptr) == IsRefused);
}

// Guards against a request that two instances each send to as many servers as
// its route allows.
TEST_CASE("A request that was passed on runs once at the instance that takes "
          "it") {
  RequestMetadata Metadata;
  Metadata.AttemptId_ = "a1";
  Metadata.Peer_.Support_ = PeerFieldSupport::Full;
  Harness Run(routeOf(Repeatability::Repeatable, AnswerForm::Complete),
              Metadata, RequestSource::Peer);
  Run.attempt("a");
  SECTION("it may have run") {
    Run.handle(failure(AttemptProgress::RequestSent));
    CHECK_FALSE(Run.find<RequestServer>());
    REQUIRE(Run.find<Refuse>());
    CHECK(Run.find<Refuse>()->Status_ == 502);
  }
  SECTION("it has not run") {
    Run.complete(answer(AnswerClaim::NotRun, 503));
    CHECK(Run.find<RequestServer>());
  }
}
