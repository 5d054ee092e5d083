#include <LibTraffic/ExchangeFlow.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::exchange;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Permit : RetryGate {
  bool tryTake(ServiceName const &, TimePoint) override {
    ++Asked_;
    return IsOpen_;
  }
  bool IsOpen_ = true;
  int Asked_ = 0;
};

Route routeOf(Repeatability Repeat, AnswerForm Form) {
  Route Made;
  Made.Repeatability_ = Repeat;
  Made.Form_ = Form;
  Made.MaxAttempts_ = 2;
  return Made;
}

ServerAnswer answer(AnswerClaim Claim, std::int32_t Status) {
  ServerAnswer Made;
  Made.Claim_ = Claim;
  Made.Head_.Status_ = Status;
  Made.Head_.Fields_.add("Signature", "of the first");
  return Made;
}

ServerRecord server(std::string const &Name) {
  ServerRecord Made;
  Made.Id_ = ServerId(Name);
  return Made;
}

AttemptFailed failure(AttemptProgress Progress) {
  return {{Progress, AttemptEnd::ConnectionFailed, 0, "connection reset"}};
}

/// Drives one flow and keeps its actions.
struct Harness {
  explicit Harness(Route Given) : Route_(std::move(Given)) {
    FlowContext FlowContext;
    FlowContext.Route_ = &Route_;
    FlowContext.Expiry_ = Now_ + seconds(2);
    Flow_.emplace(FlowContext, Permit_);
    Last_ = Flow_->start(Now_);
  }

  void handle(Event const &Given) { Last_ = Flow_->handle(Given, Now_); }
  void attempt(std::string const &Name) {
    handle(ServerAssigned{server(Name)});
  }
  void complete(ServerAnswer const &Given, std::string const &Body = {}) {
    handle(HeadArrived{Given});
    if (!Body.empty())
      handle(BodyArrived{Body});
    handle(AnswerCompleted{});
  }
  template <typename Kind> Kind const *find() const {
    for (auto const &Action : Last_)
      if (auto const *const Found = std::get_if<Kind>(&Action))
        return Found;
    return nullptr;
  }

  Route Route_;
  Permit Permit_;
  TimePoint Now_{seconds(1000)};
  std::optional<ExchangeFlow> Flow_;
  std::vector<Action> Last_;
};

auto const Signed = answer(AnswerClaim::Succeeded, 200);

} // namespace

TEST_CASE("An answer is given whole") {
  Harness One(routeOf(Repeatability::Never, AnswerForm::Whole));
  REQUIRE(One.find<RequestServer>());
  One.attempt("a");
  REQUIRE(One.find<SendAttempt>());
  CHECK(One.find<SendAttempt>()->Metadata_.TimeLeft_ == seconds(2));
  One.complete(Signed, "body");
  REQUIRE(One.find<SendCompleteAnswer>());
  CHECK(One.find<SendCompleteAnswer>()->Body_ == "body");
  CHECK(One.find<CountRun>());
  CHECK(One.Flow_->isOver());
}

TEST_CASE("What may not be repeated is never sent again once it may have run") {
  Harness One(routeOf(Repeatability::Never, AnswerForm::Whole));
  One.attempt("a");
  SECTION("reset after it was sent") {
    One.handle(failure(AttemptProgress::RequestSent));
  }
  SECTION("reset inside the answer") {
    One.handle(HeadArrived{Signed});
    One.handle(failure(AttemptProgress::AnswerBegun));
  }
  SECTION("an answer that bears no signature") {
    One.complete(answer(AnswerClaim::Untrusted, 200), "rot");
  }
  SECTION("a promise that is not the server's to make") {
    One.complete(answer(AnswerClaim::Failed, GENERATE(408, 421, 429, 503)));
  }
  REQUIRE(One.find<Refuse>());
  CHECK(One.find<Refuse>()->Status_ == 502);
  CHECK_FALSE(One.find<RequestServer>());
  CHECK(One.Permit_.Asked_ == 0);
}

TEST_CASE("A request that certainly has not run goes elsewhere") {
  Harness One(routeOf(Repeatability::Never, AnswerForm::Whole));
  One.attempt("a");
  SECTION("no connection") {
    One.handle(failure(AttemptProgress::NotConnected));
  }
  SECTION("refused by the server") {
    One.complete(answer(AnswerClaim::NotRun, 503));
  }
  REQUIRE(One.find<RequestServer>());
  CHECK(One.find<RequestServer>()->Excluded_ == std::set{ServerId("a")});
  One.attempt("b");
  One.complete(Signed);
  CHECK(One.find<SendCompleteAnswer>());
}

TEST_CASE("Not run is said, with when to come back, only when it is true") {
  Harness One(routeOf(Repeatability::Repeatable, AnswerForm::Whole));
  SECTION("no server at all") {
    One.handle(NoServer{"full", milliseconds(300)});
    REQUIRE(One.find<Refuse>());
    CHECK(One.find<Refuse>()->Status_ == 503);
    CHECK(One.find<Refuse>()->RetryAfter_ == milliseconds(300));
  }
  SECTION("no second server after one that may have run it") {
    One.attempt("a");
    One.handle(failure(AttemptProgress::RequestSent));
    REQUIRE(One.find<RequestServer>());
    One.handle(NoServer{"full", milliseconds(300)});
    REQUIRE(One.find<Refuse>());
    CHECK(One.find<Refuse>()->Status_ == 502);
    CHECK_FALSE(One.find<Refuse>()->RetryAfter_);
  }
  SECTION("refusals only, and no budget for another") {
    One.Permit_.IsOpen_ = false;
    One.attempt("a");
    One.complete(answer(AnswerClaim::NotRun, 503));
    REQUIRE(One.find<Refuse>());
    CHECK(One.find<Refuse>()->Status_ == 503);
    CHECK(One.find<Refuse>()->RetryAfter_);
  }
}

TEST_CASE("A server's own failure is given as it is when no try is left") {
  Harness One(routeOf(Repeatability::Repeatable, AnswerForm::Whole));
  One.attempt("a");
  One.complete(answer(AnswerClaim::Failed, 500), "first");
  REQUIRE(One.find<RequestServer>());
  One.attempt("b");
  One.complete(answer(AnswerClaim::Failed, 500), "second");
  REQUIRE(One.find<SendCompleteAnswer>());
  CHECK(One.find<SendCompleteAnswer>()->Head_.Status_ == 500);
  CHECK(One.find<SendCompleteAnswer>()->Body_ == "second");
}

TEST_CASE("A stream goes on at another server after the last whole event") {
  Harness One(routeOf(Repeatability::Resumable, AnswerForm::EventStream));
  One.attempt("a");
  One.handle(HeadArrived{Signed});
  One.handle(BodyArrived{"id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\nda"});
  REQUIRE(One.find<BeginStream>());
  CHECK(One.find<RelayEvents>()->Bytes_ ==
        "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
  One.handle(failure(AttemptProgress::AnswerBegun));
  REQUIRE(One.find<RequestServer>());
  One.attempt("b");
  CHECK(One.find<SendAttempt>()->Metadata_.LastEventId_ == 2);
  One.handle(HeadArrived{answer(AnswerClaim::Succeeded, 200)});
  // An event that the client has already is left out.
  One.handle(BodyArrived{"id: 2\ndata: y\n\nid: 3\ndata: z\n\n"});
  CHECK_FALSE(One.find<BeginStream>());
  REQUIRE(One.find<RelayEvents>());
  CHECK(One.find<RelayEvents>()->Bytes_ == "id: 3\ndata: z\n\n");
  One.handle(AnswerCompleted{});
  CHECK(One.find<FinishStream>());
}

TEST_CASE("A stream that cannot go on is broken off, not ended") {
  Harness One(routeOf(GENERATE(Repeatability::Never, Repeatability::Resumable),
                      AnswerForm::EventStream));
  One.attempt("a");
  One.handle(HeadArrived{Signed});
  // Without identifiers nobody can say where to go on.
  One.handle(BodyArrived{"data: x\n\n"});
  REQUIRE(One.find<RelayEvents>());
  SECTION("the server breaks off") {
    One.handle(failure(AttemptProgress::AnswerBegun));
  }
  SECTION("the stream ends inside an event") {
    One.handle(BodyArrived{"data: y"});
    One.handle(AnswerCompleted{});
  }
  SECTION("the time is over") {
    One.Now_ += seconds(3);
    One.handle(TimePassed{});
    CHECK(One.find<CancelAttempt>());
  }
  CHECK(One.find<AbortStream>());
  CHECK_FALSE(One.find<FinishStream>());
}

TEST_CASE("A gap in a resumed stream breaks it off") {
  Harness One(routeOf(Repeatability::Resumable, AnswerForm::EventStream));
  One.attempt("a");
  One.handle(HeadArrived{Signed});
  One.handle(BodyArrived{"id: 1\n\n"});
  One.handle(BodyArrived{"id: 3\n\n"});
  CHECK(One.find<AbortStream>());
  CHECK(One.find<CancelAttempt>());
}

TEST_CASE("The route's attempts bound what may have run") {
  Harness One(routeOf(Repeatability::Repeatable, AnswerForm::Whole));
  One.attempt("a");
  One.handle(failure(AttemptProgress::RequestSent));
  One.attempt("b");
  One.handle(failure(AttemptProgress::RequestSent));
  CHECK_FALSE(One.find<RequestServer>());
  CHECK(One.find<Refuse>()->Status_ == 502);
}

TEST_CASE("A client that leaves ends its attempt, or its wait") {
  Harness One(routeOf(Repeatability::Never, AnswerForm::Whole));
  SECTION("waiting") {
    One.handle(ClientLeft{});
    CHECK(One.find<CancelServerRequest>());
  }
  SECTION("attempting") {
    One.attempt("a");
    One.handle(ClientLeft{});
    CHECK(One.find<CancelAttempt>());
  }
  CHECK(One.Flow_->isOver());
}

TEST_CASE("When the time is over the final answer is given at once") {
  Harness One(routeOf(Repeatability::Never, AnswerForm::Whole));
  SECTION("not sent") {
    One.Now_ += seconds(2);
    One.handle(TimePassed{});
    CHECK(One.find<Refuse>()->Status_ == 503);
  }
  SECTION("sent") {
    One.attempt("a");
    One.Now_ += seconds(2);
    One.handle(TimePassed{});
    CHECK(One.find<Refuse>()->Status_ == 504);
  }
  SECTION("a server found only then, after the process stood still") {
    One.Now_ += seconds(60);
    One.attempt("a");
    CHECK_FALSE(One.find<SendAttempt>());
    CHECK(One.find<Refuse>()->Status_ == 503);
  }
}

TEST_CASE("A send that reached nobody costs no retry") {
  Harness Run(routeOf(Repeatability::Never, AnswerForm::Whole));
  Run.Permit_.IsOpen_ = false;
  Run.attempt("a");
  Run.handle(failure(AttemptProgress::NotConnected));
  CHECK(Run.Last_ == std::vector<Action>{RequestServer{{ServerId("a")}}});
  CHECK(Run.Permit_.Asked_ == 0);
  // One that may have reached its server does.
  Run.attempt("b");
  Run.handle(HeadArrived{answer(AnswerClaim::NotRun, 503)});
  Run.handle(AnswerCompleted{});
  CHECK(Run.Permit_.Asked_ == 1);
  CHECK(Run.Flow_->isOver());
}
