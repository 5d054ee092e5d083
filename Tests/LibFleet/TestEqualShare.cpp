#include <LibFleet/EqualShare.h>

#include <catch2/catch.hpp>

using namespace laburnum;

static Member memberIn(Liveness State) {
  Member Made;
  Made.Liveness_ = State;
  return Made;
}

TEST_CASE("The shares of instances that know each other add up to one") {
  std::size_t const Count = GENERATE(1, 8, 410);
  std::vector<Member> const Members(Count, memberIn(Liveness::Live));
  CHECK(equalShare(Members) * static_cast<double>(Count) == Approx(1.0));
}

TEST_CASE("Instances that take no new work leave their share to the others") {
  CHECK(equalShare({memberIn(Liveness::Live), memberIn(Liveness::Live),
                    memberIn(Liveness::Leaving), memberIn(Liveness::Gone)}) ==
        Approx(0.5));
}

TEST_CASE("An instance that knows no members grants the whole limit") {
  CHECK(equalShare({}) == Approx(1.0));
}
