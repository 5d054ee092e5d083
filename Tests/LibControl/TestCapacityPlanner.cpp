#include <LibControl/CapacityPlanner.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace laburnum;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ServiceName const Writer("writer");
std::vector<DataCentre> const Centres = {DataCentre("a"), DataCentre("b"),
                                         DataCentre("c")};
constexpr Duration Boot = seconds(4);
constexpr Duration Step = milliseconds(200);

/// A platform that starts what is ordered after the boot time, takes the
/// reclaimable servers of a data centre away, and for a while has no more.
struct World {
  World() {
    for (auto const &Centre : Centres)
      for (int Place = 0; Place < 6; ++Place)
        add(Centre, Tenure::OnDemand, Now_);
  }

  struct Server {
    DataCentre Centre_;
    Tenure Tenure_;
    TimePoint ReadyAt_;
    bool IsLeaving_ = false;
  };

  void add(DataCentre const &Centre, Tenure Kind, TimePoint ReadyAt) {
    Servers_.push_back({Centre, Kind, ReadyAt});
  }
  std::size_t ready() const {
    return static_cast<std::size_t>(std::count_if(
        Servers_.begin(), Servers_.end(), [this](Server const &One) {
          return One.ReadyAt_ <= Now_ && !One.IsLeaving_;
        }));
  }
  double cost() const {
    double Sum = 0.0;
    for (auto const &One : Servers_)
      Sum += One.Tenure_ == Tenure::OnDemand ? 1.0 : 0.18;
    return Sum;
  }

  void carryOut(ServerOrder const &Order) {
    auto const Matches = [&](Server const &One) {
      return One.Centre_ == Order.DataCentre_ && One.Tenure_ == Order.Tenure_ &&
             !One.IsLeaving_;
    };
    auto Count = static_cast<std::uint32_t>(
        std::count_if(Servers_.begin(), Servers_.end(), Matches));
    if (Order.Tenure_ == Tenure::Reclaimable && Order.Count_ > Count && IsDry_)
      return Planner_.onRefused(Order, Now_);
    for (; Count < Order.Count_; ++Count) {
      add(Order.DataCentre_, Order.Tenure_, Now_ + Boot);
      OnDemandStarts_ += Order.Tenure_ == Tenure::OnDemand ? 1 : 0;
    }
    for (; Count > Order.Count_; --Count) {
      auto const Leaving =
          std::find_if(Servers_.begin(), Servers_.end(), Matches);
      StillListed_.emplace_back(*Leaving, Now_ + ListLag_);
      Servers_.erase(Leaving);
    }
  }

  ServerRecord recordOf(Server const &One) const {
    ServerRecord Record;
    Record.Service_ = Writer;
    Record.DataCentre_ = One.Centre_;
    Record.IsReclaimable_ = One.Tenure_ == Tenure::Reclaimable;
    return Record;
  }

  void reclaim(DataCentre const &Centre) {
    IsDry_ = true;
    std::erase_if(Servers_, [&](Server const &One) {
      return One.Centre_ == Centre && One.Tenure_ == Tenure::Reclaimable;
    });
  }

  void pass(Duration Length, double PerSecond) {
    for (auto const End = Now_ + Length; Now_ < End; Now_ += Step) {
      CapacityInput Input;
      Input.Service_ = Writer;
      Input.Bounds_ = {
          1,
          12,
          Boot,
          0.18,
          {{Centres[0], 0.85}, {Centres[1], 1.2}, {Centres[2], 1.0}}};
      Input.Slots_ = 24;
      // Below one server in seven a request takes ever longer.
      auto const Usual = PerSecond * 0.3;
      auto const Fullness =
          Usual / (static_cast<double>(std::max<std::size_t>(1, ready())) * 10);
      Input.Demand_ = {Usual * std::max(1.0, Fullness * Fullness), PerSecond};
      for (auto const &One : Servers_)
        if (One.ReadyAt_ <= Now_)
          Input.Servers_.push_back(recordOf(One));
      for (auto const &[One, Until] : StillListed_)
        if (Until > Now_)
          Input.Servers_.push_back(recordOf(One));
      Planner_.observe(Input, Now_);
      if (!HoldsDuty_)
        continue;
      auto const PendingOrder = Planner_.plan(Input, Now_);
      Orders_ += PendingOrder.size();
      for (auto const &Order : PendingOrder)
        carryOut(Order);
      Least_ = std::min(Least_, ready());
    }
  }

  TimePoint Now_{seconds(1000)};
  CapacityPlanner Planner_{CapacitySettings{}};
  std::vector<Server> Servers_;
  /// Servers that are gone, and until when the list shows them.
  std::vector<std::pair<Server, TimePoint>> StillListed_;
  Duration ListLag_{};
  std::size_t OnDemandStarts_ = 0;
  std::size_t Orders_ = 0;
  std::size_t Least_ = 1000;
  bool IsDry_ = false;
  bool HoldsDuty_ = true;
};

constexpr double Calm = 200.0; ///< 60 requests at once: nine servers' worth.

} // namespace

TEST_CASE("Nothing is ordered before there is any demand, or without a list") {
  World One;
  One.pass(seconds(10), 0.0);
  CHECK(One.Orders_ == 0);
  One.Servers_.clear();
  One.pass(seconds(5), Calm);
  CHECK(One.Orders_ == 0);
}

TEST_CASE("A fleet that is too large shrinks to mostly reclaimable servers and "
          "never below the need") {
  World One;
  One.pass(seconds(30), Calm);
  CHECK(One.cost() < 0.6 * 18);
  CHECK(One.Least_ >= 9);
  CHECK(One.Orders_ < 60);
}

TEST_CASE("Enough servers remain when one data centre after the other loses "
          "its reclaimable servers and no new ones are available") {
  World One;
  One.pass(seconds(20), Calm);
  One.reclaim(Centres[2]);
  One.pass(seconds(6), Calm);
  One.reclaim(Centres[1]);
  One.pass(seconds(6), Calm);
  One.Least_ = 1000;
  One.reclaim(Centres[0]);
  One.pass(seconds(10), Calm);
  // The base stays, and what replaces the rest is there within a boot time.
  CHECK(One.Least_ >= 4);
  CHECK(One.ready() >= 9);
}

TEST_CASE("Longer requests under overload do not raise the orders") {
  World One;
  One.pass(seconds(20), Calm);
  for (auto const &Centre : Centres)
    One.reclaim(Centre);
  One.pass(seconds(8), Calm);
  CHECK(One.ready() <= 18);
}

TEST_CASE("More demand is met within the boot time") {
  World One;
  One.pass(seconds(20), Calm);
  One.pass(seconds(7), Calm * 2.0);
  CHECK(One.ready() >= 16);
}

TEST_CASE("A data centre stays within its minimum and maximum") {
  World One;
  One.pass(seconds(40), 5.0);
  for (auto const &Centre : Centres)
    CHECK(std::count_if(One.Servers_.begin(), One.Servers_.end(),
                        [&](World::Server const &Each) {
                          return Each.Centre_ == Centre;
                        }) >= 1);
  One.pass(seconds(20), 5000.0);
  for (auto const &Centre : Centres)
    CHECK(std::count_if(One.Servers_.begin(), One.Servers_.end(),
                        [&](World::Server const &Each) {
                          return Each.Centre_ == Centre;
                        }) <= 12);
}

TEST_CASE("A new lease holder does not scale down before it has observed the "
          "demand") {
  World One;
  One.pass(seconds(30), Calm);
  auto const Before = One.ready();
  One.Planner_ = CapacityPlanner(CapacitySettings{});
  One.Least_ = 1000;
  One.pass(seconds(4), Calm / 4.0);
  CHECK(One.Least_ >= Before);
}

TEST_CASE(
    "A list that lags behind an order causes no server to be ordered again") {
  World One;
  One.ListLag_ =
      GENERATE(milliseconds(100), milliseconds(300), milliseconds(900));
  One.pass(seconds(30), Calm);
  CHECK(One.OnDemandStarts_ == 0);
}

TEST_CASE(
    "An instance that takes over the lease has already observed the demand") {
  World One;
  One.HoldsDuty_ = false;
  One.pass(seconds(10), Calm);
  CHECK(One.Orders_ == 0);
  One.Planner_.reset();
  One.HoldsDuty_ = true;
  One.pass(seconds(15), Calm);
  CHECK(One.cost() < 0.6 * 18);
  CHECK(One.Least_ >= 9);
}

TEST_CASE(
    "A backlog after a restart does not become the typical request duration") {
  World One;
  One.pass(seconds(20), Calm);
  for (auto const &Centre : Centres)
    One.reclaim(Centre);
  One.Planner_ = CapacityPlanner(CapacitySettings{});
  One.pass(seconds(8), Calm);
  CHECK(One.ready() <= 14);
}
