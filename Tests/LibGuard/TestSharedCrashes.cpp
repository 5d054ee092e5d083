#include <LibGuard/CrashGuard.h>

#include <catch2/catch.hpp>

#include <string>

using namespace laburnum;

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t Content = 7;
AttemptEvidence const Broken{AttemptProgress::RequestSent,
                             AttemptEnd::ConnectionFailed, 0, ""};
AttemptEvidence const CompleteAnswer{AttemptProgress::AnswerWhole,
                                     AttemptEnd::Answered, 200, ""};

TimePoint at(Duration SinceStart) { return TimePoint() + SinceStart; }

/// A guard whose suspects share servers with other requests.
struct SharedGuard {
  std::vector<CrashReport> run(std::string const &Server,
                               AttemptEvidence const &Evidence,
                               Duration SinceStart,
                               std::uint64_t Fingerprint = Content) {
    Guard_.onStarted(Fingerprint, ServerId(Server), Isolation::Shared);
    return Guard_.onEnded(Fingerprint, ServerId(Server), Evidence,
                          at(SinceStart));
  }
  void classify(std::string const &Server, DisconnectCause Cause,
                Duration SinceStart) {
    BackendServer Judged;
    Judged.Id_ = ServerId(Server);
    Guard_.onDisconnectClassified(Judged, Cause, at(SinceStart));
  }
  bool isRefused(Duration SinceStart, std::uint64_t Fingerprint = Content) {
    return Guard_.verdict(Fingerprint, at(SinceStart)) == CrashVerdict::Refuse;
  }

  void run(std::string const &Server, RequestFingerprints const &Request,
           AttemptEvidence const &Evidence, Duration SinceStart) {
    Guard_.onStarted(Request, ServerId(Server), at(SinceStart));
    Guard_.onEnded(Request, ServerId(Server), Evidence, at(SinceStart));
  }
  bool isRefused(RequestFingerprints const &Request, Duration SinceStart) {
    return Guard_.refusal(Request, at(SinceStart)).has_value();
  }

  CrashGuard Guard_{1, {3}};
};

/// Returns a request of its own content with those parts.
RequestFingerprints prompt(std::vector<std::uint64_t> Parts) {
  static std::uint64_t Last = 1000;
  return {++Last, std::move(Parts)};
}

constexpr std::uint64_t Deadly = 1;
constexpr std::uint64_t First = 2;
constexpr std::uint64_t Second = 3;

} // namespace

TEST_CASE_METHOD(SharedGuard, "Content is refused once three servers crashed "
                              "while running it, before classification") {
  run("a", Broken, seconds(0));
  run("b", Broken, seconds(1));
  CHECK_FALSE(isRefused(seconds(1)));
  CHECK(Guard_.verdict(Content, at(seconds(1))) == CrashVerdict::Run);
  run("c", Broken, seconds(2));
  CHECK(isRefused(seconds(2)));
  CHECK_FALSE(isRefused(seconds(2), Content + 1));
  classify("c", DisconnectCause::Crash, seconds(3));
  CHECK(isRefused(seconds(3)));
}

TEST_CASE_METHOD(SharedGuard,
                 "Disconnects count while their cause is undecided") {
  for (auto const *Server : {"a", "b", "c"}) {
    run(Server, Broken, seconds(0));
    classify(Server, DisconnectCause::Undecided, seconds(1));
  }
  CHECK(isRefused(seconds(1)));
  SECTION("and no longer once the link is found to have broken") {
    classify("b", DisconnectCause::Link, seconds(2));
    CHECK_FALSE(isRefused(seconds(2)));
  }
  SECTION("and then as crashes") {
    classify("b", DisconnectCause::Crash, seconds(2));
    CHECK(isRefused(seconds(2)));
  }
}

TEST_CASE_METHOD(SharedGuard, "A lost link, a copy on the same server and a "
                              "cancelled attempt do not count as crashes") {
  run("a", Broken, seconds(0));
  run("b", Broken, seconds(0));
  SECTION("broken link") {
    run("c", Broken, seconds(0));
    classify("c", DisconnectCause::Link, seconds(1));
  }
  SECTION("same server") { run("b", Broken, seconds(1)); }
  SECTION("given up") {
    auto CancelledAttempt = Broken;
    CancelledAttempt.End_ = AttemptEnd::Cancelled;
    run("c", CancelledAttempt, seconds(1));
  }
  CHECK_FALSE(isRefused(seconds(1)));
}

TEST_CASE_METHOD(
    SharedGuard,
    "A complete answer clears the content, even if it is refused") {
  for (auto const *Server : {"a", "b", "c"}) {
    Guard_.onStarted(Content, ServerId("well"), Isolation::Shared);
    run(Server, Broken, seconds(0));
  }
  REQUIRE(isRefused(seconds(0)));
  auto const Reports =
      Guard_.onEnded(Content, ServerId("well"), CompleteAnswer, at(seconds(1)));
  CHECK(Reports.size() == 3);
  CHECK_FALSE(isRefused(seconds(1)));
  // A guard that receives the reports late does not refuse it either.
  CrashGuard Other(2, {3});
  Other.merge(Reports, at(seconds(2)));
  CHECK(Other.verdict(Content, at(seconds(2))) == CrashVerdict::Run);
}

TEST_CASE_METHOD(SharedGuard,
                 "A refusal expires ten minutes after the third last crash") {
  run("a", Broken, seconds(0));
  run("b", Broken, seconds(10));
  run("c", Broken, seconds(20));
  run("d", Broken, seconds(30));
  auto const Until = Guard_.refusedUntil(Content, at(seconds(30)));
  REQUIRE(Until);
  CHECK(*Until == at(seconds(10) + minutes(10)));
  CHECK(isRefused(seconds(9) + minutes(10)));
  CHECK_FALSE(isRefused(seconds(10) + minutes(10)));
  CHECK_FALSE(Guard_.refusedUntil(Content, at(seconds(10) + minutes(10))));
}

TEST_CASE_METHOD(
    SharedGuard,
    "The number of stored contents is bounded, and the latest are kept") {
  constexpr std::uint64_t Many = 20000;
  for (std::uint64_t Each = 0; Each < Many; ++Each)
    run("a", Broken, std::chrono::milliseconds(Each), 100 + Each);
  CHECK(Guard_.reports(at(seconds(20))).size() < Many / 2);
  CHECK(Guard_.reportsOf(100 + Many - 1, at(seconds(20))).size() == 1);
}

TEST_CASE_METHOD(SharedGuard, "Content that servers have just answered is not "
                              "refused when many of them crash at once") {
  run("well", CompleteAnswer, seconds(0));
  for (auto const *Server : {"a", "b", "c", "d"})
    run(Server, Broken, seconds(5));
  CHECK_FALSE(isRefused(seconds(5)));
  CHECK(Guard_.reports(at(seconds(5))).empty());
  // The earlier answer has expired.
  for (auto const *Server : {"e", "f", "g"})
    run(Server, Broken, seconds(11));
  CHECK(isRefused(seconds(11)));
}

TEST_CASE_METHOD(SharedGuard, "A part that crashed servers is refused whatever "
                              "else the request holds") {
  run("a", prompt({Deadly, First}), Broken, seconds(0));
  run("b", prompt({Second, Deadly}), Broken, seconds(0));
  CHECK_FALSE(isRefused(prompt({Deadly}), seconds(0)));
  run("c", prompt({Deadly}), Broken, seconds(0));
  auto const Refusal = Guard_.refusal(prompt({Second, Deadly}), at(seconds(1)));
  REQUIRE(Refusal);
  CHECK(*Refusal == CrashRefusal{Deadly, at(minutes(10))});
  CHECK_FALSE(isRefused(prompt({First}), seconds(1)));
  CHECK_FALSE(isRefused(prompt({Second}), seconds(1)));
}

TEST_CASE_METHOD(
    SharedGuard,
    "Parts that were always crashed together are refused together, "
    "and one of them alone runs only as a trial from the fifth crash on") {
  for (auto const *Server : {"a", "b", "c"})
    run(Server, prompt({First, Deadly}), Broken, seconds(0));
  CHECK(isRefused(prompt({First, Deadly}), seconds(1)));
  CHECK_FALSE(isRefused(prompt({First}), seconds(1)));
  CHECK_FALSE(isRefused(prompt({Second, Deadly}), seconds(1)));
  SECTION("the sound one is answered") {
    run("well", prompt({First}), CompleteAnswer, seconds(1));
    CHECK(isRefused(prompt({Second, Deadly}), seconds(1)));
    CHECK_FALSE(isRefused(prompt({First}), seconds(1)));
  }
  SECTION("the other one crashes again") {
    run("d", prompt({Second, Deadly}), Broken, seconds(1));
    CHECK(isRefused(prompt({Second, Deadly}), seconds(1)));
    CHECK_FALSE(isRefused(prompt({First}), seconds(1)));
  }
  SECTION("both crash on") {
    run("d", prompt({First, Deadly}), Broken, seconds(1));
    CHECK_FALSE(isRefused(prompt({First}), seconds(1)));
    run("e", prompt({First, Deadly}), Broken, seconds(1));
    CHECK(isRefused(prompt({First, Deadly}), seconds(1)));
    CHECK_FALSE(isRefused(prompt({First}), seconds(1)));
    Guard_.onStarted(prompt({First}), ServerId("f"), at(seconds(1)));
    CHECK(isRefused(prompt({First}), seconds(1)));
    CHECK(isRefused(prompt({Second, Deadly}), seconds(1)));
    // The next trial is soon.
    CHECK_FALSE(isRefused(prompt({First}), seconds(2)));
    run("g", prompt({Second, Deadly}), Broken, seconds(2));
    CHECK(isRefused(prompt({Second, Deadly}), seconds(60)));
    run("f", prompt({First}), CompleteAnswer, seconds(60));
    CHECK_FALSE(isRefused(prompt({First}), seconds(60)));
  }
}

TEST_CASE_METHOD(SharedGuard, "A part that crashed five servers is refused if "
                              "only several suspects together excuse it") {
  constexpr std::uint64_t OtherDeadly = 4;
  for (auto const *Server : {"a", "b", "c"})
    run(Server, prompt({First, Deadly}), Broken, seconds(0));
  for (auto const *Server : {"d", "e", "f"})
    run(Server, prompt({First, OtherDeadly}), Broken, seconds(0));
  CHECK(isRefused(prompt({First}), seconds(1)));
}

TEST_CASE_METHOD(SharedGuard, "A request that waits for a trial is told when "
                              "the next one is, which is later in a fleet") {
  for (auto const *Server : {"a", "b", "c", "d", "e"})
    run(Server, prompt({First, Deadly}), Broken, seconds(0));
  auto const Instances = GENERATE(1U, 8U, 24U, 77U);
  Guard_.setInstances(Instances);
  Guard_.onStarted(prompt({First}), ServerId("f"), at(seconds(1)));
  auto const Refusal = Guard_.refusal(prompt({First}), at(seconds(1)));
  REQUIRE(Refusal);
  auto const Pause = Refusal->Until_ - at(seconds(1));
  constexpr Duration FleetPeriod = std::chrono::milliseconds(250);
  CHECK(Pause >= FleetPeriod * Instances / 2);
  CHECK(Pause <= FleetPeriod * Instances * 3 / 2);
  CHECK_FALSE(Guard_.refusal(prompt({First}), Refusal->Until_));
}

TEST_CASE_METHOD(SharedGuard,
                 "A sound part on servers that other parts crashed "
                 "is not refused") {
  constexpr std::uint64_t OtherDeadly = 4;
  for (auto const *Server : {"a", "b", "c"}) {
    run(Server, prompt({Deadly}), Broken, seconds(0));
    run(Server, prompt({Second}), Broken, seconds(0));
  }
  run("d", prompt({Deadly}), Broken, seconds(0));
  CHECK(isRefused(prompt({Deadly}), seconds(1)));
  CHECK_FALSE(isRefused(prompt({Second}), seconds(1)));
  for (auto const *Server : {"e", "f", "g"})
    run(Server, prompt({OtherDeadly}), Broken, seconds(1));
  run("e", prompt({Second}), Broken, seconds(1));
  CHECK_FALSE(isRefused(prompt({Second}), seconds(1)));
  CHECK(isRefused(prompt({OtherDeadly, Second}), seconds(1)));
}

TEST_CASE_METHOD(SharedGuard,
                 "Reports of a part that was just answered here are cleared") {
  CrashGuard Other(2, {3});
  std::vector<CrashReport> Reports;
  for (auto const *Server : {"a", "b", "c"}) {
    auto const Request = prompt({First});
    Other.onStarted(Request, ServerId(Server), at(seconds(5)));
    for (auto const &Report :
         Other.onEnded(Request, ServerId(Server), Broken, at(seconds(5))))
      Reports.push_back(Report);
  }
  REQUIRE(Other.refusal(prompt({First}), at(seconds(5))));
  run("well", prompt({First}), CompleteAnswer, seconds(0));
  auto const Cleared = Guard_.merge(Reports, at(seconds(5)));
  CHECK(Cleared.size() == 3);
  CHECK_FALSE(isRefused(prompt({First}), seconds(5)));
  Other.merge(Cleared, at(seconds(5)));
  CHECK_FALSE(Other.refusal(prompt({First}), at(seconds(5))));
}
