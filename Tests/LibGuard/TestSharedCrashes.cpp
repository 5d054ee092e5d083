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

  CrashGuard Guard_{1, {3}};
};

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
