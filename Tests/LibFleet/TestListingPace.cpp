#include <LibFleet/ListingPace.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using std::chrono::seconds;

static InstanceListing listingOf(std::size_t Servers) {
  InstanceListing Listing;
  Listing.Servers_.resize(Servers);
  return Listing;
}

TEST_CASE("a small list is always due") {
  ListingPace Pacing(1);
  TimePoint const Now{};
  REQUIRE(Pacing.isDue(Now));
  Pacing.listed(listingOf(24), Now);
  REQUIRE(Pacing.isDue(Now));
}

TEST_CASE("the bytes per second read of a large list are bounded") {
  constexpr std::size_t Entries = 1060;
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    ListingPace Pacing(Seed);
    TimePoint const Now{};
    Pacing.listed(listingOf(Entries), Now);
    REQUIRE_FALSE(Pacing.isDue(Now + seconds(44)));
    REQUIRE(Pacing.isDue(Now + seconds(133)));
  }
}

TEST_CASE("the reads of a large list are spread out") {
  constexpr std::size_t Readers = 100;
  TimePoint const Middle = TimePoint{} + seconds(88);
  std::size_t Due = 0;
  for (std::uint64_t Seed = 1; Seed <= Readers; ++Seed) {
    ListingPace Pacing(Seed);
    Pacing.listed(listingOf(1060), TimePoint{});
    Due += Pacing.isDue(Middle) ? 1 : 0;
  }
  REQUIRE(Due > Readers / 4);
  REQUIRE(Due < Readers * 3 / 4);
}
