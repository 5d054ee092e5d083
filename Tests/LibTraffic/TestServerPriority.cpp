#include <LibTraffic/ServerPriority.h>

#include <catch2/catch.hpp>

using namespace laburnum;

using std::chrono::milliseconds;

namespace {

Route routeTo(std::string const &Service, milliseconds Target) {
  Route Made;
  Made.Name_ = Service + std::to_string(Target.count());
  Made.LatencyTarget_ = Target;
  Made.Services_ = {{ServiceName(Service), 1}};
  return Made;
}

} // namespace

TEST_CASE("Of requests of equal rank those go first whose first event is due "
          "sooner") {
  RouteTable const Table(1,
                         {routeTo("engine", milliseconds(500)),
                          routeTo("engine", milliseconds(1200)),
                          routeTo("engine", milliseconds(3000)),
                          routeTo("engine", milliseconds(9000)),
                          routeTo("desk", milliseconds(200))},
                         {}, {}, {});
  auto const &Routes = Table.routes();
  CHECK(serverPriority(Table, Routes[0], 0) == 0);
  CHECK(serverPriority(Table, Routes[1], 0) == 1);
  CHECK(serverPriority(Table, Routes[2], 0) == 2);
  CHECK(serverPriority(Table, Routes[3], 0) == 2);
  CHECK(serverPriority(Table, Routes[4], 0) == 0);
}

TEST_CASE("The configured rank goes before the latency target") {
  RouteTable const Table(1,
                         {routeTo("engine", milliseconds(500)),
                          routeTo("engine", milliseconds(1200))},
                         {}, {}, {});
  auto const &Routes = Table.routes();
  CHECK(serverPriority(Table, Routes[1], 0) <
        serverPriority(Table, Routes[0], 1));
  CHECK(serverPriority(Table, Routes[1], 1000) <= MaxServerPriority);
  CHECK(serverPriority(Table, Routes[0], -5) == 0);
}
