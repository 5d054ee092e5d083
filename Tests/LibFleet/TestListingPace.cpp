#include <LibFleet/ListingPace.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using std::chrono::seconds;

static InstanceListing listingOf(std::size_t Servers) {
  InstanceListing Listing;
  Listing.Servers_.resize(Servers);
  return Listing;
}

TEST_CASE("a small list is read whenever its reader asks") {
  ListingPace Pace(1);
  TimePoint const Now{};
  REQUIRE(Pace.isDue(Now));
  Pace.listed(listingOf(24), Now);
  REQUIRE(Pace.isDue(Now));
}

TEST_CASE("a large list is read so rarely that its bytes are bounded") {
  constexpr std::size_t Entries = 1060;
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    ListingPace Pace(Seed);
    TimePoint const Now{};
    Pace.listed(listingOf(Entries), Now);
    REQUIRE_FALSE(Pace.isDue(Now + seconds(44)));
    REQUIRE(Pace.isDue(Now + seconds(133)));
  }
}

TEST_CASE("readers of a large list take turns") {
  constexpr std::size_t Readers = 100;
  TimePoint const Middle = TimePoint{} + seconds(88);
  std::size_t Due = 0;
  for (std::uint64_t Seed = 1; Seed <= Readers; ++Seed) {
    ListingPace Pace(Seed);
    Pace.listed(listingOf(1060), TimePoint{});
    Due += Pace.isDue(Middle) ? 1 : 0;
  }
  REQUIRE(Due > Readers / 4);
  REQUIRE(Due < Readers * 3 / 4);
}
