#include <LibControl/DemandView.h>
#include <LibControl/MedianClock.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

using std::chrono::seconds;

constexpr Duration TimeOfDay = seconds(1'700'000'000);

} // namespace

TEST_CASE("A clock that jumps, locally or at a few peers, does not change the "
          "median") {
  MedianClock Clock;
  TimePoint const Now{seconds(10)};
  auto const LocalError = GENERATE(seconds(0), seconds(2), seconds(-2));
  Clock.setLocal(TimeOfDay + LocalError, Now);
  for (int Peer = 0; Peer < 7; ++Peer)
    Clock.onPeer(InstanceId(std::to_string(Peer)),
                 TimeOfDay + (Peer < 2 ? seconds(2) : seconds(0)), Now);
  CHECK(Clock.read(Now) == TimeOfDay);
  CHECK(Clock.read(Now + seconds(3)) == TimeOfDay + seconds(3));
}

TEST_CASE("A single instance uses its local clock") {
  MedianClock Clock;
  Clock.setLocal(TimeOfDay, TimePoint(seconds(10)));
  CHECK(Clock.read(TimePoint(seconds(11))) == TimeOfDay + seconds(1));
}

TEST_CASE("Demand is summed over the instances that reported recently") {
  DemandView View;
  ServiceName const Service("s");
  for (int Report = 0; Report <= 40; ++Report) {
    TimePoint const Now{seconds(10) + std::chrono::milliseconds(250) * Report};
    for (auto const *Peer : {"a", "b"})
      View.onReport(InstanceId(Peer),
                    {{Service, 3, 1, static_cast<std::uint64_t>(Report) * 5}},
                    Now);
  }
  TimePoint const Last{seconds(20)};
  CHECK(View.demand(Service, Last).Requests_ == 8.0);
  CHECK(View.demand(Service, Last).PerSecond_ == Approx(40.0).epsilon(0.01));
  CHECK(View.demand(Service, Last + seconds(2)) == FleetDemand{});
}
