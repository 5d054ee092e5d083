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

} // namespace

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
  SECTION("before") {
    Run.Now_ += TimeAllowed - milliseconds(740);
    Run.handle(End);
    CHECK_FALSE(Run.find<AbortStream>());
  }
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
