#include "Oracle.h"
#include "Schedule.h"

#include <EntryProcess/CrashableServer.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::soak;

namespace {

using std::chrono::seconds;

std::string const AttemptId = "a";

TimePoint at(int Seconds) { return TimePoint() + seconds(Seconds); }

CallerOutcome outcome(RequestKind Kind, int Status) {
  CallerOutcome Made;
  Made.AttemptId_ = AttemptId;
  Made.Kind_ = Kind;
  Made.Status_ = Status;
  Made.Body_ = entry_process::CrashableServer::expectedAnswer(AttemptId);
  Made.Sent_ = at(10);
  Made.Ended_ = at(11);
  return Made;
}

std::size_t findings(CallerOutcome const &Outcome, int Runs,
                     std::vector<Outage> const &Outages = {},
                     TimePoint FaultFreeFrom = at(100)) {
  Oracle UnderTest;
  UnderTest.onOutcome(Outcome);
  for (int Run = 0; Run < Runs; ++Run)
    UnderTest.onRun(AttemptId, 0, at(10));
  for (auto const &One : Outages)
    UnderTest.onOutage(One);
  return UnderTest.findings(FaultFreeFrom).size();
}

} // namespace

TEST_CASE("The oracle reports violations and nothing else") {
  auto const Once = RequestKind::Once;
  auto const Repeatable = RequestKind::Repeatable;
  CHECK(findings(outcome(Once, 200), 1) == 0);
  CHECK(findings(outcome(Once, 200), 2) == 1);
  CHECK(findings(outcome(Repeatable, 200), 2) == 0);
  CHECK(findings(outcome(Once, 503), 0) == 0);
  CHECK(findings(outcome(Once, 503), 1) == 1);
  CHECK(findings(outcome(Once, 502), 1) == 0);
  CHECK(findings(outcome(Once, 404), 0) == 1);
  auto Mismatched = outcome(Once, 200);
  Mismatched.Body_ = entry_process::CrashableServer::expectedAnswer("b");
  CHECK(findings(Mismatched, 1) == 1);
}

TEST_CASE("A request without an answer is excused only by an outage of its "
          "instance") {
  auto const Unanswered = outcome(RequestKind::Once, 0);
  // It may have crossed the close of its connection, but not for a second.
  auto Crossed = Unanswered;
  Crossed.Ended_ = Crossed.Sent_ + std::chrono::milliseconds(100);
  CHECK(findings(Crossed, 0) == 0);
  CHECK(findings(Crossed, 1) == 1);
  CHECK(findings(Unanswered, 0) == 1);
  CHECK(findings(Unanswered, 0, {{0, at(9), at(10)}}) == 0);
  CHECK(findings(Unanswered, 1) == 1);
  CHECK(findings(Unanswered, 1, {{0, at(9), at(10)}}) == 0);
  CHECK(findings(Unanswered, 1, {{1, at(9), at(20)}}) == 1);
  CHECK(findings(Unanswered, 1, {{0, at(1), at(9)}}) == 1);
}

TEST_CASE("Requests are served long after the last fault") {
  CHECK(findings(outcome(RequestKind::Once, 503), 0, {}, at(10)) == 1);
  CHECK(findings(outcome(RequestKind::Once, 200), 1, {}, at(10)) == 0);
}

TEST_CASE(
    "More requests in 4 s than a server's rate limit allows are reported, "
    "but not those of excused instances") {
  // A limit of 2 allows 17.
  auto const [Runs, Limited, Excused, Findings] =
      GENERATE(table<int, bool, bool, std::size_t>({{17, true, false, 0},
                                                    {18, true, false, 1},
                                                    {18, true, true, 0},
                                                    {18, false, false, 0}}));
  Oracle UnderTest;
  UnderTest.onRateLimit(3, 2.0, at(5));
  if (!Limited)
    UnderTest.onRateLimit(3, std::nullopt, at(9));
  if (Excused)
    UnderTest.onOutage({0, at(6), at(7)});
  for (int Run = 0; Run < Runs; ++Run) {
    auto Served = outcome(RequestKind::Repeatable, 200);
    Served.AttemptId_ = std::to_string(Run);
    Served.Body_ =
        entry_process::CrashableServer::expectedAnswer(Served.AttemptId_);
    UnderTest.onOutcome(Served);
    UnderTest.onRun(Served.AttemptId_, 3, at(10));
    UnderTest.onRun(Served.AttemptId_, 4, at(10));
  }
  CHECK(UnderTest.findings(at(100)).size() == Findings);
}

TEST_CASE("A seed leads to the same faults each time") {
  auto const Length = seconds(60);
  CHECK(makeSchedule(7, Length, 8, 8) == makeSchedule(7, Length, 8, 8));
  CHECK(makeSchedule(7, Length, 8, 8) != makeSchedule(8, Length, 8, 8));
  for (auto const &One : makeSchedule(7, Length, 8, 8))
    CHECK(One.At_ + One.Length_ <= Length - FaultFreeTime);
}
