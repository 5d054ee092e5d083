#include "FlowHarness.h"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::exchange;
using namespace laburnum::test;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr AnswerCompleted Unmarked{AnswerEnd::Unmarked};
constexpr AnswerCompleted Marked{AnswerEnd::Marked};

Route stream(Repeatability Repeat = Repeatability::Resumable) {
  return routeOf(Repeat, AnswerForm::EventStream);
}

/// Begins a stream whose server ends it without marking the end.
void endUnmarked(Harness &Run) {
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"});
  Run.handle(Unmarked);
}

} // namespace

TEST_CASE("A resumable stream whose end is not marked is complete only once "
          "another server has nothing to add") {
  Harness Run(stream());
  endUnmarked(Run);
  CHECK_FALSE(Run.find<FinishStream>());
  REQUIRE(Run.find<RequestServer>());
  CHECK(Run.find<RequestServer>()->Excluded_.size() == 1);
  CHECK(Run.find<RequestServer>()->Origin_);
  Run.attempt("b");
  CHECK(Run.find<SendAttempt>()->Metadata_.LastEventId_ == 2);
  Run.handle(HeadArrived{Signed});
  SECTION("it has nothing to add") {
    Run.handle(GENERATE(Marked, Unmarked));
    CHECK_FALSE(Run.find<BeginStream>());
    CHECK(Run.find<FinishStream>());
  }
  SECTION("it goes on") {
    Run.handle(BodyArrived{"id: 3\ndata: z\n\n"});
    REQUIRE(Run.find<RelayEvents>());
    CHECK(Run.find<RelayEvents>()->Bytes_ == "id: 3\ndata: z\n\n");
    Run.handle(Marked);
    CHECK(Run.find<FinishStream>());
  }
  SECTION("it goes on and does not mark its end either") {
    Run.handle(BodyArrived{"id: 3\ndata: z\n\n"});
    Run.handle(Unmarked);
    CHECK(Run.find<AbortStream>());
  }
  SECTION("it goes on and breaks off") {
    Run.handle(BodyArrived{"id: 3\ndata: z\n\n"});
    Run.handle(failure(AttemptProgress::AnswerBegun));
    CHECK(Run.find<AbortStream>());
  }
}

TEST_CASE(
    "A resumable stream whose end cannot be confirmed once the retry budget "
    "is spent is left to its client to take up") {
  Harness Run(stream());
  Run.RetryGate_.IsOpen_ = false;
  endUnmarked(Run);
  CHECK(Run.find<AbortStream>());
  CHECK_FALSE(Run.find<FinishStream>());
}

TEST_CASE("A stream whose end is not marked is complete where no other server "
          "can tell") {
  Harness Run(stream());
  endUnmarked(Run);
  SECTION("no server is free") { Run.handle(NoServer{"all are busy", {}}); }
  SECTION("the other server refuses") {
    Run.attempt("b");
    Run.handle(HeadArrived{answer(AnswerClaim::NotRun, 503)});
    Run.handle(Marked);
    Run.handle(NoServer{"no other server", {}});
  }
  SECTION("the time is over meanwhile") {
    Run.Now_ += seconds(3);
    Run.handle(TimePassed{});
  }
  CHECK(Run.find<FinishStream>());
}

TEST_CASE("A stream that its client cannot take up is complete at an end that "
          "is not marked") {
  SECTION("its route does not resume streams") {
    Harness Run(stream(Repeatability::Never));
    endUnmarked(Run);
    CHECK(Run.find<FinishStream>());
  }
  SECTION("its server does not identify itself") {
    Harness Run(stream());
    Run.RetryGate_.IsOpen_ = false;
    Run.attempt("a");
    auto Unidentified = Signed;
    Unidentified.IsProcessUnidentified_ = true;
    Run.handle(HeadArrived{Unidentified});
    Run.handle(BodyArrived{"id: 1\ndata: x\n\n"});
    Run.handle(Unmarked);
    CHECK(Run.find<FinishStream>());
  }
}

// Guards against cutting whole streams without a length.
TEST_CASE("A stream whose end is not marked is complete where its route allows "
          "no second attempt, however other streams end") {
  auto Once = stream(GENERATE(Repeatability::Never, Repeatability::Resumable));
  Once.MaxAttempts_ = 1;
  auto const OtherEnd = GENERATE(Marked, Unmarked);
  Harness Run(Once);
  for (int Number = 0; Number < 20; ++Number) {
    Harness Other(stream(Repeatability::Never));
    Other.Conventions_ = Run.Conventions_;
    Other.attempt("a");
    Other.handle(HeadArrived{Signed});
    Other.handle(BodyArrived{"id: 1\ndata: x\n\n"});
    Other.handle(OtherEnd);
    Run.Conventions_ = Other.Conventions_;
  }
  endUnmarked(Run);
  CHECK(Run.find<FinishStream>());
  CHECK_FALSE(Run.find<AbortStream>());
}

TEST_CASE("A stream whose end is not marked is left to its client only where "
          "that can take it up, once the retry budget is spent") {
  auto const Repeat = GENERATE(Repeatability::Never, Repeatability::Resumable);
  Harness Run(stream(Repeat));
  Run.RetryGate_.IsOpen_ = false;
  endUnmarked(Run);
  bool const IsBelieved = Repeat == Repeatability::Never;
  CHECK((Run.find<FinishStream>() != nullptr) == IsBelieved);
  CHECK((Run.find<AbortStream>() != nullptr) == !IsBelieved);
}

TEST_CASE("A stream without a length whose connection breaks off is not "
          "complete") {
  auto const Repeat = GENERATE(Repeatability::Never, Repeatability::Resumable);
  Harness Run(stream(Repeat));
  Run.RetryGate_.IsOpen_ = false;
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"id: 1\ndata: x\n\n"});
  Run.handle(failure(AttemptProgress::AnswerBegun));
  CHECK_FALSE(Run.find<FinishStream>());
  CHECK(Run.find<AbortStream>());
}

TEST_CASE("A stream that is taken up after its last event completes though "
          "servers mark no ends and the retry budget is spent") {
  RequestMetadata Metadata;
  Metadata.TakesUpStream_ = true;
  Metadata.LastEventId_ = 2;
  Harness Run(stream(), Metadata);
  Run.RetryGate_.IsOpen_ = false;
  Run.handle(OriginFound{StreamOrigin{}, {}});
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  SECTION("the server has nothing to add") {
    Run.handle(Unmarked);
    CHECK(Run.find<FinishStream>());
  }
  SECTION("the server goes on") {
    Run.handle(BodyArrived{"id: 3\ndata: z\n\n"});
    Run.handle(Unmarked);
    CHECK(Run.find<AbortStream>());
  }
}

TEST_CASE("A resumable stream whose end another server does not confirm is "
          "aborted") {
  Harness Run(stream());
  endUnmarked(Run);
  Run.attempt("b");
  SECTION("it breaks off") {
    Run.handle(failure(AttemptProgress::RequestSent));
  }
  SECTION("it works until the time is over") {
    Run.Now_ += seconds(3);
    Run.handle(TimePassed{});
  }
  SECTION("it begins anew") {
    Run.handle(HeadArrived{Signed});
    Run.handle(BodyArrived{"id: 1\ndata: x\n\n"});
  }
  CHECK(Run.find<AbortStream>());
}

TEST_CASE("A stream that was found to go on is not complete at the next end "
          "that is not marked") {
  auto Three = stream();
  Three.MaxAttempts_ = 3;
  Harness Run(Three);
  endUnmarked(Run);
  Run.attempt("b");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"id: 3\ndata: z\n\n"});
  Run.handle(Unmarked);
  REQUIRE(Run.find<RequestServer>());
  SECTION("nobody is left to ask") {
    Run.handle(NoServer{"all are busy", {}});
    CHECK(Run.find<AbortStream>());
  }
  SECTION("the next server ends without a mark and without an event") {
    Run.attempt("c");
    Run.handle(HeadArrived{Signed});
    Run.handle(Unmarked);
    CHECK(Run.find<AbortStream>());
  }
  SECTION("the next server has nothing to add") {
    Run.attempt("c");
    Run.handle(HeadArrived{Signed});
    Run.handle(Marked);
    CHECK(Run.find<FinishStream>());
  }
}

TEST_CASE("A stream without an event is not complete by the end of its "
          "connection") {
  SECTION("a new one is begun elsewhere") {
    Harness Run(stream());
    Run.attempt("a");
    Run.handle(HeadArrived{Signed});
    Run.handle(Unmarked);
    CHECK_FALSE(Run.find<FinishStream>());
    REQUIRE(Run.find<RequestServer>());
    Run.attempt("b");
    CHECK_FALSE(Run.find<SendAttempt>()->Metadata_.LastEventId_);
  }
  SECTION("one that is taken up is asked for elsewhere") {
    RequestMetadata Metadata;
    Metadata.TakesUpStream_ = true;
    Metadata.LastEventId_ = 3;
    Harness Run(stream(), Metadata);
    Run.handle(OriginFound{StreamOrigin{}, {}});
    Run.attempt("a");
    Run.handle(HeadArrived{Signed});
    Run.handle(Unmarked);
    CHECK_FALSE(Run.find<FinishStream>());
    REQUIRE(Run.find<RequestServer>());
    Run.attempt("b");
    Run.handle(HeadArrived{Signed});
    Run.handle(BodyArrived{"id: 4\ndata: z\n\n"});
    CHECK(Run.find<RelayEvents>());
    Run.handle(Marked);
    CHECK(Run.find<FinishStream>());
  }
}

TEST_CASE("What a server repeats after the last event of a whole stream is not "
          "relayed") {
  Harness Run(stream());
  endUnmarked(Run);
  Run.attempt("b");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"data: done\n\n"});
  CHECK_FALSE(Run.find<RelayEvents>());
  Run.handle(Unmarked);
  CHECK(Run.find<FinishStream>());
}

TEST_CASE("An answer that its server may have ended because of the deadline is "
          "not complete") {
  constexpr milliseconds TimeAllowed{2000};
  auto const End = GENERATE(Marked, Unmarked);
  auto const Repeat = GENERATE(Repeatability::Never, Repeatability::Resumable);
  Harness Run(stream(Repeat));
  Run.Now_ += milliseconds(700);
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"id: 1\ndata: x\n\n"});
  SECTION("at the deadline") {
    Run.Now_ += TimeAllowed - milliseconds(701);
    Run.handle(End);
    CHECK(Run.find<AbortStream>());
    CHECK_FALSE(Run.find<FinishStream>());
  }
  SECTION("as early as a server's timer may be") {
    Run.Now_ += TimeAllowed - milliseconds(710);
    Run.handle(End);
    CHECK(Run.find<AbortStream>());
    CHECK_FALSE(Run.find<FinishStream>());
  }
  SECTION("before") {
    Run.Now_ += TimeAllowed - milliseconds(711);
    Run.handle(End);
    CHECK_FALSE(Run.find<AbortStream>());
    CHECK(Run.find<FinishStream>());
  }
}

// Guards against cutting whole streams because their next event, had there been
// one, would have come after the deadline.
TEST_CASE("A stream that its server ends before the deadline is complete, "
          "however long its pauses") {
  constexpr milliseconds EndsAt{1910}; // Of two seconds.
  auto const End = GENERATE(Marked, Unmarked);
  auto const Repeat = GENERATE(Repeatability::Never, Repeatability::Resumable);
  auto const Pause = GENERATE(10, 100, 300, 600);
  auto const Events = GENERATE(1, 2, 3);
  CAPTURE(Pause, Events);
  Harness Run(stream(Repeat));
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  Run.Now_ += EndsAt - milliseconds(Pause) * Events;
  for (int Id = 1; Id <= Events; ++Id) {
    Run.handle(BodyArrived{"id: " + std::to_string(Id) + "\ndata: x\n\n"});
    Run.Now_ += milliseconds(Pause);
  }
  Run.handle(End);
  CHECK_FALSE(Run.find<AbortStream>());
  bool const AsksAnother =
      End.End_ == AnswerEnd::Unmarked && Repeat == Repeatability::Resumable;
  CHECK((Run.find<FinishStream>() != nullptr) == !AsksAnother);
  CHECK((Run.find<RequestServer>() != nullptr) == AsksAnother);
}

TEST_CASE("A stream is complete that ends long before its deadline, however "
          "long it has paused") {
  SECTION("between events") {
    Harness Run(stream(Repeatability::Never));
    Run.attempt("a");
    Run.handle(HeadArrived{Signed});
    Run.handle(BodyArrived{"id: 1\ndata: x\n\n"});
    Run.Now_ += milliseconds(1200);
    Run.handle(BodyArrived{"id: 2\ndata: x\n\n"});
    Run.handle(Marked);
    CHECK(Run.find<FinishStream>());
  }
  SECTION("before it has nothing to add") {
    RequestMetadata Metadata;
    Metadata.TakesUpStream_ = true;
    Metadata.LastEventId_ = 2;
    Harness Run(stream(), Metadata);
    Run.handle(OriginFound{StreamOrigin{}, {}});
    Run.attempt("a");
    Run.Now_ += milliseconds(1200);
    Run.handle(HeadArrived{Signed});
    Run.handle(Marked);
    CHECK(Run.find<FinishStream>());
  }
}

TEST_CASE("A stream that ends near its client's deadline is complete where its "
          "server has more time") {
  constexpr milliseconds Margin{400};
  Harness Run(stream(Repeatability::Never), {}, RequestSource::Client, Margin);
  Run.attempt("a");
  CHECK(Run.find<SendAttempt>()->Metadata_.TimeLeft_ == seconds(2) + Margin);
  Run.handle(HeadArrived{Signed});
  auto const Pause = GENERATE(350, 700);
  Run.Now_ += milliseconds(1850 - Pause);
  Run.handle(BodyArrived{"id: 1\ndata: x\n\n"});
  Run.Now_ += milliseconds(Pause);
  Run.handle(BodyArrived{"id: 2\ndata: x\n\n"});
  SECTION("its end comes before its client's deadline") {
    Run.Now_ += milliseconds(1999 - 1850);
    Run.handle(Marked);
    CHECK(Run.find<FinishStream>());
    CHECK_FALSE(Run.find<AbortStream>());
  }
  // An instance that was held reads the end before its own timer ends.
  SECTION("its end is read at its server's deadline") {
    Run.Now_ += milliseconds(2390 - 1850);
    Run.handle(Marked);
    CHECK_FALSE(Run.find<FinishStream>());
    CHECK(Run.find<AbortStream>());
  }
}

// Guards against cutting whole streams that another instance has passed on.
TEST_CASE("A stream that another instance has judged whole is complete until "
          "its client's deadline") {
  auto const Repeat = GENERATE(Repeatability::Never, Repeatability::Resumable);
  Harness Run(stream(Repeat), {}, RequestSource::Client, milliseconds(400));
  Run.handle(ServerAssigned{server("b"), ServerAccess::ThroughPeer});
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"id: 1\ndata: x\n\n"});
  Run.Now_ += milliseconds(1999);
  SECTION("its end is marked") {
    Run.handle(Marked);
    CHECK(Run.find<FinishStream>());
    CHECK_FALSE(Run.find<AbortStream>());
  }
  SECTION("its connection ends") {
    Run.handle(Unmarked);
    CHECK(Run.find<AbortStream>());
    CHECK_FALSE(Run.find<FinishStream>());
  }
}

TEST_CASE("An instance that passes a stream on leaves the server's margin to "
          "the next one") {
  Harness Run(stream(), {}, RequestSource::Client, milliseconds(400));
  Run.handle(ServerAssigned{server("b"), ServerAccess::ThroughPeer});
  CHECK(Run.find<SendAttempt>()->Metadata_.TimeLeft_ == seconds(2));
}

TEST_CASE("A plain answer without a marked end is not whole at the deadline") {
  Harness Run(routeOf(Repeatability::Never, AnswerForm::Complete));
  Run.attempt("a");
  Run.handle(HeadArrived{Signed});
  Run.handle(BodyArrived{"the who"});
  Run.Now_ += seconds(2);
  Run.handle(Unmarked);
  CHECK_FALSE(Run.find<SendCompleteAnswer>());
  REQUIRE(Run.find<Refuse>());
  CHECK(Run.find<Refuse>()->Status_ == 502);
}
