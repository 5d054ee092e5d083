#include <LibTraffic/ExchangeFlow.h>
#include <LibTraffic/ServerRoster.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::exchange;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct TestRetryGate : RetryGate {
  bool tryTake(ServiceName const &, TimePoint) override {
    ++Calls_;
    return IsOpen_;
  }
  bool IsOpen_ = true;
  int Calls_ = 0;
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

/// Drives one flow and stores its last actions.
struct Harness {
  explicit Harness(Route Given, RequestMetadata Metadata = {},
                   RequestSource Source = RequestSource::Client)
      : Route_(std::move(Given)) {
    FlowContext FlowContext;
    FlowContext.Metadata_ = std::move(Metadata);
    FlowContext.Route_ = &Route_;
    FlowContext.Expiry_ = Now_ + seconds(2);
    FlowContext.Source_ = Source;
    Flow_.emplace(FlowContext, RetryGate_);
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
  TestRetryGate RetryGate_;
  TimePoint Now_{seconds(1000)};
  std::optional<ExchangeFlow> Flow_;
  std::vector<Action> Last_;
};

auto const Signed = answer(AnswerClaim::Succeeded, 200);

} // namespace

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
    "A stream is resumed on another server after the last complete event") {
  Harness Run(routeOf(Repeatability::Resumable, AnswerForm::EventStream));
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\nda"});
  REQUIRE(Run.find<BeginStream>());
  CHECK(Run.find<RelayEvents>()->Bytes_ ==
        "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
  Run.handle(failure(AttemptProgress::AnswerBegun));
  REQUIRE(Run.find<RequestServer>());
  Run.attempt("b");
  CHECK(Run.find<SendAttempt>()->Metadata_.LastEventId_ == 2);
  Run.handle(HeadArrived{answer(AnswerClaim::Succeeded, 200)});
  // An event that the client already has is not relayed again.
  Run.handle(BodyArrived{"id: 2\ndata: y\n\nid: 3\ndata: z\n\n"});
  CHECK_FALSE(Run.find<BeginStream>());
  REQUIRE(Run.find<RelayEvents>());
  CHECK(Run.find<RelayEvents>()->Bytes_ == "id: 3\ndata: z\n\n");
  Run.handle(AnswerCompleted{});
  CHECK(Run.find<FinishStream>());
}

TEST_CASE("A server that begins a stream anew does not continue it") {
  bool const IsTakenUp = GENERATE(false, true);
  RequestMetadata Metadata;
  if (IsTakenUp) {
    Metadata.TakesUpStream_ = true;
    Metadata.LastEventId_ = 2;
  }
  Harness Run(routeOf(Repeatability::Resumable, AnswerForm::EventStream),
              Metadata);
  if (IsTakenUp) {
    Run.handle(OriginFound{StreamOrigin{}, {}});
  } else {
    Run.attempt("a");
    Run.handle(HeadArrived{Signed});
    Run.handle(BodyArrived{"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"});
    Run.handle(failure(AttemptProgress::AnswerBegun));
  }
  Run.attempt("b");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{
      GENERATE("id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n",
               "id: 2\ndata: other\n\nid: 3\ndata: z\n\n")});
  CHECK_FALSE(Run.find<RelayEvents>());
  CHECK(Run.find<CancelAttempt>());
  // One run of two is left where this instance has not begun the stream.
  CHECK((Run.find<RequestServer>() != nullptr) == IsTakenUp);
  CHECK((Run.find<AbortStream>() != nullptr) == !IsTakenUp);
}

TEST_CASE("A stream that cannot be resumed is aborted, not finished") {
  Harness Run(routeOf(GENERATE(Repeatability::Never, Repeatability::Resumable),
                      AnswerForm::EventStream));
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  // Without event identifiers the stream cannot be resumed.
  Run.handle(BodyArrived{"data: x\n\n"});
  REQUIRE(Run.find<RelayEvents>());
  SECTION("the server breaks off") {
    Run.handle(failure(AttemptProgress::AnswerBegun));
  }
  SECTION("the stream ends inside an event") {
    Run.handle(BodyArrived{"data: y"});
    Run.handle(AnswerCompleted{});
  }
  SECTION("the time is over") {
    Run.Now_ += seconds(3);
    Run.handle(TimePassed{});
    CHECK(Run.find<CancelAttempt>());
  }
  CHECK(Run.find<AbortStream>());
  CHECK_FALSE(Run.find<FinishStream>());
}

TEST_CASE("A gap in a stream aborts it") {
  Harness Run(routeOf(Repeatability::Resumable, AnswerForm::EventStream));
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"id: 1\n\n"});
  Run.handle(BodyArrived{"id: 3\n\n"});
  CHECK(Run.find<AbortStream>());
  CHECK(Run.find<CancelAttempt>());
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

namespace {

ServerRecord versionedServer(std::string const &Name,
                             std::string const &Version) {
  auto Made = server(Name);
  Made.Service_ = ServiceName("writer");
  Made.SoftwareVersion_ = Version;
  return Made;
}

} // namespace

TEST_CASE("A stream that has begun asks for servers of its software version") {
  RequestMetadata Metadata;
  Metadata.AttemptId_ = "first";
  Harness Run(routeOf(Repeatability::Resumable, AnswerForm::EventStream),
              Metadata);
  CHECK_FALSE(Run.find<RequestServer>()->Origin_);
  Run.handle(ServerAssigned{versionedServer("a", "v1")});
  SECTION("not before its first event") {
    Run.handle(failure(AttemptProgress::RequestSent));
    CHECK_FALSE(Run.find<RequestServer>()->Origin_);
  }
  SECTION("after its first event") {
    Run.handle(HeadArrived{answer(AnswerClaim::Succeeded, 200)});
    Run.handle(BodyArrived{"id: 1\ndata: x\n\n"});
    CHECK(Run.find<RememberOrigin>());
    Run.handle(failure(AttemptProgress::AnswerBegun));
    CHECK(Run.find<RequestServer>()->Origin_ ==
          StreamOrigin{ServiceName("writer"), "v1"});
  }
}

TEST_CASE("A stream that is taken up waits for its origin, and is refused at "
          "once if it is not known") {
  auto Stream = routeOf(Repeatability::Resumable, AnswerForm::EventStream);
  RequestMetadata Metadata;
  Metadata.AttemptId_ = "second";
  Metadata.TakesUpStream_ = true;
  Metadata.FirstAttemptId_ = "first";
  Metadata.LastEventId_ = 1;
  Harness Run(Stream, Metadata);
  CHECK(Run.find<FindOrigin>());
  CHECK_FALSE(Run.find<RequestServer>());
  SECTION("known") {
    StreamOrigin const Origin{ServiceName("writer"), "v1"};
    Run.handle(OriginFound{Origin, {}});
    CHECK(Run.find<RequestServer>()->Origin_ == Origin);
    Run.handle(ServerAssigned{versionedServer("a", "v1")});
    Run.handle(HeadArrived{answer(AnswerClaim::Succeeded, 200)});
    Run.handle(BodyArrived{"id: 2\ndata: x\n\n"});
    CHECK(Run.find<RememberOrigin>()->Stream_ == BegunStream{"first", Origin});
  }
  SECTION("not known") {
    Run.handle(OriginFound{std::nullopt, "not known"});
    CHECK(Run.find<Refuse>()->Status_ == 503);
    CHECK(Run.Flow_->isOver());
  }
  SECTION("the client leaves before the answer") {
    Run.handle(ClientLeft{});
    Run.handle(OriginFound{StreamOrigin{}, {}});
    CHECK(Run.Last_.empty());
  }
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

TEST_CASE("A stream that began through another instance goes on if that one "
          "states its origin") {
  RequestMetadata Metadata;
  Metadata.AttemptId_ = "a1";
  Harness Run(routeOf(Repeatability::Resumable, AnswerForm::EventStream),
              Metadata);
  auto Answered = Signed;
  bool const IsStated = GENERATE(false, true);
  if (IsStated)
    Answered.Origin_ = StreamOrigin{ServiceName("desk"), "v2"};
  Run.handle(ServerAssigned{server("peer"), ServerAccess::ThroughPeer});
  Run.handle(HeadArrived{Answered});
  Run.handle(BodyArrived{"id: 1\n\n"});
  Run.handle(failure(AttemptProgress::AnswerBegun));
  REQUIRE((Run.find<RequestServer>() != nullptr) == IsStated);
  if (IsStated)
    CHECK(Run.find<RequestServer>()->Origin_ == Answered.Origin_);
  else
    CHECK(Run.find<AbortStream>());
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
