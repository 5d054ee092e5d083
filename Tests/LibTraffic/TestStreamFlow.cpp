#include "FlowHarness.h"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::exchange;
using namespace laburnum::test;

using std::chrono::seconds;

namespace {

ServerRecord versionedServer(std::string const &Name,
                             std::string const &Version) {
  auto Made = server(Name);
  Made.Service_ = ServiceName("writer");
  Made.SoftwareVersion_ = Version;
  return Made;
}

} // namespace

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

TEST_CASE("A stream that began at a server which does not identify itself goes "
          "on at no listed version") {
  RequestMetadata Metadata;
  Metadata.AttemptId_ = "first";
  Harness Run(routeOf(Repeatability::Resumable, AnswerForm::EventStream),
              Metadata);
  Run.attempt("a");
  auto Unidentified = Signed;
  Unidentified.IsProcessUnidentified_ = true;
  Run.handle(HeadArrived{Unidentified});
  Run.handle(BodyArrived{"id: 1\ndata: x\n\n"});
  REQUIRE(Run.find<RememberOrigin>());
  CHECK(Run.find<RememberOrigin>()->Stream_.Origin_.SoftwareVersion_ ==
        UnidentifiedVersion);
  Run.handle(failure(AttemptProgress::AnswerBegun));
  REQUIRE(Run.find<RequestServer>());
  CHECK(Run.find<RequestServer>()->Origin_->SoftwareVersion_ ==
        UnidentifiedVersion);
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

TEST_CASE("The identifiers of a server's events may grow by more than one") {
  Harness Run(routeOf(Repeatability::Resumable, AnswerForm::EventStream));
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"id: 8\n\nid: 16\n\n"});
  Run.handle(BodyArrived{"id: 19\n\n"});
  REQUIRE(Run.find<RelayEvents>());
  CHECK(Run.find<RelayEvents>()->Bytes_ == "id: 19\n\n");
  Run.handle(failure(AttemptProgress::AnswerBegun));
  Run.attempt("b");
  CHECK(Run.find<SendAttempt>()->Metadata_.LastEventId_ == 19);
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"id: 27\n\n"});
  CHECK(Run.find<RelayEvents>());
}

TEST_CASE("A continuation that leaves out an event is not relayed") {
  bool const IsConsecutive = GENERATE(true, false);
  Harness Run(routeOf(Repeatability::Resumable, AnswerForm::EventStream));
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{IsConsecutive ? "id: 1\n\nid: 2\n\n"
                                       : "id: 8\n\nid: 16\n\n"});
  Run.handle(failure(AttemptProgress::AnswerBegun));
  Run.attempt("b");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{IsConsecutive ? "id: 4\n\n" : "id: 32\n\n"});
  CHECK_FALSE(Run.find<RelayEvents>());
  CHECK(Run.find<AbortStream>());
  CHECK(Run.find<CancelAttempt>());
}

TEST_CASE("An event that a server leaves out is asked for elsewhere") {
  auto const Step = GENERATE(1, 8);
  auto const Event = [Step](int Number) {
    return "id: " + std::to_string(Number * Step) + "\n\n";
  };
  auto const Repeat = GENERATE(Repeatability::Resumable, Repeatability::Never);
  Harness Run(routeOf(Repeat, AnswerForm::EventStream));
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{Event(1) + Event(2)});
  Run.handle(BodyArrived{Event(3) + Event(4) + Event(6)});
  REQUIRE(Run.find<RelayEvents>());
  CHECK(Run.find<RelayEvents>()->Bytes_ == Event(3) + Event(4));
  CHECK(Run.find<CancelAttempt>());
  if (Repeat == Repeatability::Never) {
    CHECK(Run.find<AbortStream>());
    return;
  }
  REQUIRE(Run.find<RequestServer>());
  Run.attempt("b");
  CHECK(Run.find<SendAttempt>()->Metadata_.LastEventId_ == 4U * Step);
  Run.handle(HeadArrived{Signed});
  SECTION("another server has it") {
    Run.handle(BodyArrived{Event(5) + Event(6)});
    REQUIRE(Run.find<RelayEvents>());
    CHECK(Run.find<RelayEvents>()->Bytes_ == Event(5) + Event(6));
  }
  SECTION("another server leaves it out too") {
    Run.handle(BodyArrived{Event(6)});
    REQUIRE(Run.find<RelayEvents>());
    CHECK_FALSE(Run.Conventions_.isGap(
        {}, std::uint64_t{2} * static_cast<std::uint64_t>(Step)));
  }
}

TEST_CASE("An answer whose identifiers go back is not taken for the stream's "
          "rest") {
  auto const Repeat = GENERATE(Repeatability::Resumable, Repeatability::Never);
  Harness Run(routeOf(Repeat, AnswerForm::EventStream));
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
                         "id: 3\ndata: c\n\n"});
  SECTION("an event that comes twice is relayed once") {
    Run.handle(BodyArrived{"id: 3\ndata: c\n\nid: 4\ndata: d\n\n"});
    REQUIRE(Run.find<RelayEvents>());
    CHECK(Run.find<RelayEvents>()->Bytes_ == "id: 4\ndata: d\n\n");
    CHECK_FALSE(Run.find<CancelAttempt>());
  }
  SECTION("another event under an identifier that was sent") {
    Run.handle(
        BodyArrived{GENERATE("id: 2\ndata: d\n\n", "id: 3\ndata: d\n\n")});
    CHECK(Run.find<CancelAttempt>());
    bool const IsLost = Repeat == Repeatability::Never;
    CHECK((Run.find<AbortStream>() != nullptr) == IsLost);
    CHECK((Run.find<RequestServer>() != nullptr) == !IsLost);
  }
}

TEST_CASE("An event whose identifier is spoiled is not relayed where the next "
          "one shows a gap") {
  Harness Run(routeOf(Repeatability::Resumable, AnswerForm::EventStream));
  constexpr int Steps = 100;
  for (int Number = 0; Number < Steps; ++Number) {
    Run.Conventions_.onStep({}, 1);
    Run.Conventions_.onData({}, true);
  }
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
                         "id: 3\ndata: c\n\n"});
  Run.handle(BodyArrived{"ix: 4\ndata: d\n\n: comment\n\n"});
  REQUIRE(Run.find<RelayEvents>());
  CHECK(Run.find<RelayEvents>()->Bytes_ == ": comment\n\n");
  SECTION("a gap") {
    Run.handle(BodyArrived{"id: 5\ndata: e\n\n"});
    CHECK_FALSE(Run.find<RelayEvents>());
    Run.attempt("b");
    CHECK(Run.find<SendAttempt>()->Metadata_.LastEventId_ == 3);
    Run.handle(HeadArrived{Signed});
    Run.handle(BodyArrived{"id: 4\ndata: d\n\n"});
    REQUIRE(Run.find<RelayEvents>());
    CHECK(Run.find<RelayEvents>()->Bytes_ == "id: 4\ndata: d\n\n");
  }
  SECTION("one server leaves it out and the next one has spoiled it") {
    Run.Route_.MaxAttempts_ = 3;
    Run.handle(BodyArrived{"id: 5\ndata: e\n\n"});
    Run.attempt("b");
    Run.handle(HeadArrived{Signed});
    Run.handle(BodyArrived{"ix: 4\ndata: d\n\nid: 5\ndata: e\n\n"});
    CHECK_FALSE(Run.find<RelayEvents>());
    CHECK(Run.find<RequestServer>());
  }
  SECTION("an event without an identifier between two others") {
    Run.handle(BodyArrived{"id: 4\ndata: e\n\n"});
    REQUIRE(Run.find<RelayEvents>());
    CHECK(Run.find<RelayEvents>()->Bytes_ ==
          "ix: 4\ndata: d\n\nid: 4\ndata: e\n\n");
  }
  SECTION("more data than is held back") {
    std::string const Large = "data: " + std::string(70000, 'x') + "\n\n";
    Run.handle(BodyArrived{Large});
    REQUIRE(Run.find<RelayEvents>());
    CHECK(Run.find<RelayEvents>()->Bytes_ == "ix: 4\ndata: d\n\n" + Large);
  }
  SECTION("the first event of the server that goes on is spoiled too") {
    Run.Route_.MaxAttempts_ = 3;
    Run.handle(failure(AttemptProgress::AnswerBegun));
    Run.attempt("b");
    Run.handle(HeadArrived{Signed});
    Run.handle(BodyArrived{"ix: 4\ndata: d\n\n"});
    CHECK_FALSE(Run.find<RelayEvents>());
    Run.handle(BodyArrived{"id: 5\ndata: e\n\n"});
    CHECK_FALSE(Run.find<RelayEvents>());
    Run.attempt("c");
    Run.handle(HeadArrived{Signed});
    Run.handle(BodyArrived{"id: 4\ndata: d\n\nid: 5\ndata: e\n\n"});
    REQUIRE(Run.find<RelayEvents>());
    CHECK(Run.find<RelayEvents>()->Bytes_ ==
          "id: 4\ndata: d\n\nid: 5\ndata: e\n\n");
  }
  SECTION("an event without an identifier at the end, where none ends so") {
    for (int Number = 0; Number < Steps; ++Number)
      Run.Conventions_.onEnd({}, true);
    Run.handle(AnswerCompleted{});
    CHECK_FALSE(Run.find<RelayEvents>());
    CHECK_FALSE(Run.find<FinishStream>());
    REQUIRE(Run.find<RequestServer>());
    Run.attempt("b");
    CHECK(Run.find<SendAttempt>()->Metadata_.LastEventId_ == 3);
  }
  SECTION("an event without an identifier at the end") {
    Run.handle(AnswerCompleted{});
    REQUIRE(Run.find<RelayEvents>());
    CHECK(Run.find<RelayEvents>()->Bytes_ == "ix: 4\ndata: d\n\n");
    CHECK(Run.find<FinishStream>());
  }
}

TEST_CASE("Data without identifiers is relayed at once where that is usual") {
  Harness Run(routeOf(Repeatability::Resumable, AnswerForm::EventStream));
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  std::string const Data = "data: x\n\n";
  for (int Id = 10; Id <= 50; Id += 10) {
    Run.handle(BodyArrived{"id: " + std::to_string(Id) + "\n" + Data});
    for (int Between = 0; Between < 4; ++Between) {
      Run.handle(BodyArrived{Data});
      REQUIRE(Run.find<RelayEvents>());
    }
  }
}

TEST_CASE("Streams whose identifiers grow irregularly are relayed") {
  ObservedConventions Conventions;
  StreamOrigin const Origin{ServiceName("writer"), "v1"};
  for (auto const Step : {7U, 4U, 14U, 2U, 9U, 7U, 30U}) {
    CHECK_FALSE(Conventions.isGap(Origin, Step));
    Conventions.onStep(Origin, Step);
  }
}

TEST_CASE("A few servers that leave out events do not change what is a gap") {
  ObservedConventions Conventions;
  StreamOrigin const Origin{ServiceName("writer"), "v1"};
  constexpr std::uint64_t Steps = 1000;
  for (std::uint64_t Number = 0; Number < Steps; ++Number) {
    bool const IsGap = Number % 20 == 19;
    if (IsGap)
      CHECK(Conventions.isGap(Origin, 2));
    Conventions.onStep(Origin, IsGap ? 2 : 1);
  }
  CHECK_FALSE(Conventions.isGap({ServiceName("writer"), "v2"}, 2));
  CHECK_FALSE(Conventions.isGap({ServiceName("desk"), "v1"}, 2));
}

TEST_CASE("A new stream without its first event is begun elsewhere") {
  ObservedConventions Conventions;
  StreamOrigin const Origin{ServiceName("writer"), "v1"};
  CHECK_FALSE(Conventions.isLateFirst(Origin, 2));
  for (int Stream = 0; Stream < 20; ++Stream)
    Conventions.onFirst(Origin, 1);
  CHECK(Conventions.isLateFirst(Origin, 2));
  CHECK_FALSE(Conventions.isLateFirst(Origin, 1));
}

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

// Guards against two origins of one stream: the client got nothing of a run
// that another instance had begun, and then the events of a second run.
TEST_CASE("Only the instance that sends a stream to its client remembers what "
          "began it") {
  auto const Source = GENERATE(RequestSource::Client, RequestSource::Peer);
  RequestMetadata Metadata;
  Metadata.AttemptId_ = "first";
  Metadata.Peer_.Support_ = PeerFieldSupport::Full;
  Harness Run(routeOf(Repeatability::Resumable, AnswerForm::EventStream),
              Metadata, Source);
  Run.handle(ServerAssigned{versionedServer("a", "v1")});
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"id: 1\ndata: x\n\n"});
  REQUIRE(Run.find<RelayEvents>());
  CHECK((Run.find<RememberOrigin>() != nullptr) ==
        (Source == RequestSource::Client));
  CHECK(Run.Flow_->origin() == StreamOrigin{ServiceName("writer"), "v1"});
}
