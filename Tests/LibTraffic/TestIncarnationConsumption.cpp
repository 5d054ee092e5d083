#include <LibTraffic/IncarnationConsumption.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

AccountName const A("a");
AccountName const B("b");
using Counts = std::vector<AccountConsumption>;

} // namespace

TEST_CASE("Only what came since a life was first heard counts") {
  IncarnationConsumption Life;
  CHECK(Life.applyReport({{A, 100, 120}}) == Counts{{A, 0, 0}});
  CHECK(Life.applyReport({{A, 150, 180}}) == Counts{{A, 50, 60}});
  CHECK(Life.applyReport({{A, 150, 180}}) == Counts{{A, 0, 0}});
}

TEST_CASE("An account that is new to a known life counts whole") {
  IncarnationConsumption Life;
  CHECK(Life.applyReport({}).empty());
  CHECK(Life.applyReport({{A, 7, 9}}) == Counts{{A, 7, 9}});
  CHECK(Life.applyReport({{A, 8, 9}, {B, 3, 4}}) ==
        Counts{{A, 1, 0}, {B, 3, 4}});
}

TEST_CASE("A report that comes late adds nothing, then or later") {
  IncarnationConsumption Life;
  Life.applyReport({{A, 100, 100}});
  Life.applyReport({{A, 150, 150}});
  CHECK(Life.applyReport({{A, 120, 120}}) == Counts{{A, 0, 0}});
  CHECK(Life.applyReport({{A, 160, 160}}) == Counts{{A, 10, 10}});
}
