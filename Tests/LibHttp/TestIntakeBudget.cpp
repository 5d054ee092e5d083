#include <LibHttp/IntakeBudget.h>

#include <catch2/catch.hpp>

using namespace laburnum;

using Stage = IntakeBudget::Stage;

namespace {

struct TestHolder : IntakeBudget::Holder {
  void giveUpRequest() override { IsGivenUp_ = true; }
  bool IsGivenUp_ = false;
};

constexpr std::size_t Large = 40000;

TimePoint at(int Milliseconds) {
  return TimePoint(std::chrono::milliseconds(Milliseconds));
}

} // namespace

TEST_CASE("The request that has been read for the longest time is given up "
          "where there is no room for all") {
  IntakeBudget Budget({100000, 10});
  TestHolder First;
  TestHolder Second;
  TestHolder Third;
  CHECK(Budget.set(First, Large, Stage::Reading, at(1)));
  CHECK(Budget.set(Second, Large, Stage::Reading, at(2)));
  CHECK(Budget.set(Third, Large, Stage::Reading, at(3)));
  CHECK(First.IsGivenUp_);
  CHECK_FALSE(Second.IsGivenUp_);
  CHECK_FALSE(Third.IsGivenUp_);
  CHECK(Budget.heldBytes() == 2 * Large);
}

TEST_CASE("A request that grows may be the one that is given up") {
  IntakeBudget Budget({100000, 10});
  TestHolder First;
  TestHolder Second;
  CHECK(Budget.set(First, Large, Stage::Reading, at(1)));
  CHECK(Budget.set(Second, Large, Stage::Reading, at(2)));
  CHECK_FALSE(Budget.set(First, 2 * Large, Stage::Reading, at(1)));
  CHECK(First.IsGivenUp_);
  CHECK(Budget.heldBytes() == Large);
}

TEST_CASE("Small requests are given up only after large ones") {
  IntakeBudget Budget({Large + 2000, 10});
  TestHolder Small;
  TestHolder Big;
  CHECK(Budget.set(Small, 1500, Stage::Reading, at(1)));
  CHECK(Budget.set(Big, Large, Stage::Reading, at(2)));
  TestHolder Next;
  CHECK(Budget.set(Next, 1500, Stage::Reading, at(3)));
  CHECK(Big.IsGivenUp_);
  CHECK_FALSE(Small.IsGivenUp_);
}

TEST_CASE("Requests that are served are not given up") {
  IntakeBudget Budget({100000, 10});
  TestHolder Served;
  TestHolder Read;
  CHECK(Budget.set(Served, 2 * Large, Stage::Serving, at(1)));
  CHECK_FALSE(Budget.set(Read, Large, Stage::Reading, at(2)));
  CHECK(Read.IsGivenUp_);
  CHECK_FALSE(Served.IsGivenUp_);
  SECTION("one more finds no room") {
    TestHolder More;
    CHECK_FALSE(Budget.set(More, Large, Stage::Serving, at(3)));
  }
  SECTION("one that is larger than the limit is served alone") {
    Budget.remove(Served);
    CHECK(Budget.set(Served, 4 * Large, Stage::Serving, at(4)));
  }
}

TEST_CASE("What a request took is free again once it is over") {
  IntakeBudget Budget({100000, 10});
  TestHolder Holder;
  CHECK(Budget.set(Holder, Large, Stage::Serving, at(1)));
  Budget.remove(Holder);
  CHECK(Budget.heldBytes() == 0);
}
