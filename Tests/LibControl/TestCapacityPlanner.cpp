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
constexpr Duration BootTime = seconds(4);
constexpr Duration Step = milliseconds(200);

/// A simulated platform: it starts ordered servers after the boot time, can
/// reclaim the reclaimable servers of a data centre, and then has none left.
struct SimulatedPlatform {
  SimulatedPlatform() {
    for (auto const &Centre : Centres)
      for (int Index = 0; Index < 6; ++Index)
        add(Centre, CapacityType::OnDemand, Now_);
  }

  struct Server {
    DataCentre Centre_;
    CapacityType CapacityType_;
    TimePoint ReadyAt_;
    bool IsLeaving_ = false;
  };

  void add(DataCentre const &Centre, CapacityType Kind, TimePoint ReadyAt) {
    Servers_.push_back({Centre, Kind, ReadyAt});
  }
  std::size_t ready() const {
    return static_cast<std::size_t>(std::count_if(
        Servers_.begin(), Servers_.end(), [this](Server const &Entry) {
          return Entry.ReadyAt_ <= Now_ && !Entry.IsLeaving_;
        }));
  }
  double cost() const {
    double Sum = 0.0;
    for (auto const &Entry : Servers_)
      Sum += Entry.CapacityType_ == CapacityType::OnDemand ? 1.0 : 0.18;
    return Sum;
  }

  void execute(ServerOrder const &Order) {
    auto const Matches = [&](Server const &Entry) {
      return Entry.Centre_ == Order.DataCentre_ &&
             Entry.CapacityType_ == Order.CapacityType_ && !Entry.IsLeaving_;
    };
    auto Count = static_cast<std::uint32_t>(
        std::count_if(Servers_.begin(), Servers_.end(), Matches));
    if (Order.CapacityType_ == CapacityType::Reclaimable &&
        Order.Count_ > Count && IsExhausted_)
      return Planner_.onRefused(Order, Now_);
    for (; Count < Order.Count_; ++Count) {
      add(Order.DataCentre_, Order.CapacityType_, Now_ + BootTime);
      OnDemandStarts_ += Order.CapacityType_ == CapacityType::OnDemand ? 1 : 0;
    }
    for (; Count > Order.Count_; --Count) {
      auto const Leaving =
          std::find_if(Servers_.begin(), Servers_.end(), Matches);
      LaggingEntries_.emplace_back(*Leaving, Now_ + ListLag_);
      Servers_.erase(Leaving);
    }
  }

  ServerRecord recordOf(Server const &Entry) const {
    ServerRecord Record;
    Record.Service_ = Writer;
    Record.DataCentre_ = Entry.Centre_;
    Record.IsReclaimable_ = Entry.CapacityType_ == CapacityType::Reclaimable;
    return Record;
  }

  void reclaim(DataCentre const &Centre) {
    IsExhausted_ = true;
    std::erase_if(Servers_, [&](Server const &Entry) {
      return Entry.Centre_ == Centre &&
             Entry.CapacityType_ == CapacityType::Reclaimable;
    });
  }

  void pass(Duration Length, double PerSecond) {
    for (auto const End = Now_ + Length; Now_ < End; Now_ += Step) {
      CapacityInput Input;
      Input.Service_ = Writer;
      Input.Bounds_ = {
          1,
          12,
          BootTime,
          0.18,
          {{Centres[0], 0.85}, {Centres[1], 1.2}, {Centres[2], 1.0}}};
      Input.Slots_ = 24;
      // The request duration grows once a server has more than ten concurrent
      // requests on average.
      auto const Concurrency = PerSecond * 0.3;
      auto const Overload =
          Concurrency /
          (static_cast<double>(std::max<std::size_t>(1, ready())) * 10);
      Input.Demand_ = {Concurrency * std::max(1.0, Overload * Overload),
                       PerSecond};
      for (auto const &Entry : Servers_)
        if (Entry.ReadyAt_ <= Now_)
          Input.Servers_.push_back(recordOf(Entry));
      for (auto const &[Entry, Until] : LaggingEntries_)
        if (Until > Now_)
          Input.Servers_.push_back(recordOf(Entry));
      Planner_.observe(Input, Now_);
      if (!HoldsLease_)
        continue;
      auto const NewOrders = Planner_.plan(Input, Now_);
      Orders_ += NewOrders.size();
      for (auto const &Order : NewOrders)
        execute(Order);
      MinReady_ = std::min(MinReady_, ready());
    }
  }

  TimePoint Now_{seconds(1000)};
  CapacityPlanner Planner_{CapacitySettings{}};
  std::vector<Server> Servers_;
  /// Stopped servers, and until when the list still shows them.
  std::vector<std::pair<Server, TimePoint>> LaggingEntries_;
  Duration ListLag_{};
  std::size_t OnDemandStarts_ = 0;
  std::size_t Orders_ = 0;
  std::size_t MinReady_ = 1000;
  bool IsExhausted_ = false;
  bool HoldsLease_ = true;
};

/// Requests per second; 60 run concurrently, which takes nine servers.
constexpr double BaseRate = 200.0;

} // namespace

TEST_CASE("Nothing is ordered before there is any demand, or without a list") {
  SimulatedPlatform Platform;
  Platform.pass(seconds(10), 0.0);
  CHECK(Platform.Orders_ == 0);
  Platform.Servers_.clear();
  Platform.pass(seconds(5), BaseRate);
  CHECK(Platform.Orders_ == 0);
}

TEST_CASE("A fleet that is too large shrinks to mostly reclaimable servers and "
          "never below the need") {
  SimulatedPlatform Platform;
  Platform.pass(seconds(30), BaseRate);
  CHECK(Platform.cost() < 0.6 * 18);
  CHECK(Platform.MinReady_ >= 9);
  CHECK(Platform.Orders_ < 60);
}

TEST_CASE("Enough servers remain when one data centre after the other loses "
          "its reclaimable servers and no new ones are available") {
  SimulatedPlatform Platform;
  Platform.pass(seconds(20), BaseRate);
  Platform.reclaim(Centres[2]);
  Platform.pass(seconds(6), BaseRate);
  Platform.reclaim(Centres[1]);
  Platform.pass(seconds(6), BaseRate);
  Platform.MinReady_ = 1000;
  Platform.reclaim(Centres[0]);
  Platform.pass(seconds(10), BaseRate);
  // The on-demand base remains; replacements are ready within a boot time.
  CHECK(Platform.MinReady_ >= 4);
  CHECK(Platform.ready() >= 9);
}

TEST_CASE("Longer requests under overload do not raise the orders") {
  SimulatedPlatform Platform;
  Platform.pass(seconds(20), BaseRate);
  for (auto const &Centre : Centres)
    Platform.reclaim(Centre);
  Platform.pass(seconds(8), BaseRate);
  CHECK(Platform.ready() <= 18);
}

TEST_CASE("More demand is met within the boot time") {
  SimulatedPlatform Platform;
  Platform.pass(seconds(20), BaseRate);
  Platform.pass(seconds(7), BaseRate * 2.0);
  CHECK(Platform.ready() >= 16);
}

TEST_CASE("A data centre stays within its minimum and maximum") {
  SimulatedPlatform Platform;
  Platform.pass(seconds(40), 5.0);
  for (auto const &Centre : Centres)
    CHECK(std::count_if(Platform.Servers_.begin(), Platform.Servers_.end(),
                        [&](SimulatedPlatform::Server const &Server) {
                          return Server.Centre_ == Centre;
                        }) >= 1);
  Platform.pass(seconds(20), 5000.0);
  for (auto const &Centre : Centres)
    CHECK(std::count_if(Platform.Servers_.begin(), Platform.Servers_.end(),
                        [&](SimulatedPlatform::Server const &Server) {
                          return Server.Centre_ == Centre;
                        }) <= 12);
}

TEST_CASE("A new lease holder does not scale down before it has observed the "
          "demand") {
  SimulatedPlatform Platform;
  Platform.pass(seconds(30), BaseRate);
  auto const Before = Platform.ready();
  Platform.Planner_ = CapacityPlanner(CapacitySettings{});
  Platform.MinReady_ = 1000;
  Platform.pass(seconds(4), BaseRate / 4.0);
  CHECK(Platform.MinReady_ >= Before);
}

TEST_CASE(
    "A list that lags behind an order causes no server to be ordered again") {
  SimulatedPlatform Platform;
  Platform.ListLag_ =
      GENERATE(milliseconds(100), milliseconds(300), milliseconds(900));
  Platform.pass(seconds(30), BaseRate);
  CHECK(Platform.OnDemandStarts_ == 0);
}

TEST_CASE(
    "An instance that takes over the lease has already observed the demand") {
  SimulatedPlatform Platform;
  Platform.HoldsLease_ = false;
  Platform.pass(seconds(10), BaseRate);
  CHECK(Platform.Orders_ == 0);
  Platform.Planner_.reset();
  Platform.HoldsLease_ = true;
  Platform.pass(seconds(15), BaseRate);
  CHECK(Platform.cost() < 0.6 * 18);
  CHECK(Platform.MinReady_ >= 9);
}

TEST_CASE(
    "A backlog after a restart does not become the typical request duration") {
  SimulatedPlatform Platform;
  Platform.pass(seconds(20), BaseRate);
  for (auto const &Centre : Centres)
    Platform.reclaim(Centre);
  Platform.Planner_ = CapacityPlanner(CapacitySettings{});
  Platform.pass(seconds(8), BaseRate);
  CHECK(Platform.ready() <= 14);
}

TEST_CASE("Servers that read long before their slots are in use are ordered by "
          "the tokens that they have to read") {
  // Prompts of 1,000 and 9,000 tokens, read at 40,000 a second.
  ServiceWork Work;
  Work.UnsharedPerSecond_ = 1000000;
  Work.UrgentPerSecond_ = 500000;
  Work.Answers_ = 1000;
  Work.Tokens_ = 5000000;
  Work.SquaredTokens_ = 41000000000;
  Work.Milliseconds_ = 145000;
  Work.TokenMilliseconds_ = 1125000000;
  CapacityInput Input;
  Input.Service_ = Writer;
  Input.Slots_ = 64;
  Input.Demand_ = {150.0, 380.0};
  Input.Work_ = Work;
  Input.LatencyTarget_ = milliseconds(500);
  Input.LongestTarget_ = milliseconds(1200);
  auto const Need = [](CapacityInput const &Observed) {
    CapacityPlanner Planner{CapacitySettings{}};
    TimePoint Now{seconds(1000)};
    for (int Count = 0; Count < 100; ++Count, Now += Step)
      Planner.observe(Observed, Now);
    CHECK(Planner.need() >= Planner.needByWork());
    return Planner.needByWork();
  };
  // 25 would be busy all the time; the others' waits need a third more.
  CHECK(Need(Input) == 36);
  SECTION("tighter targets need more") {
    Input.LatencyTarget_ = milliseconds(100);
    CHECK(Need(Input) > 60);
  }
  SECTION("without answers there is no figure") {
    Input.Work_->Answers_ = 3;
    CHECK(Need(Input) == 0);
  }
  SECTION("the slots count where the work is not known") {
    Input.Work_.reset();
    CHECK(Need(Input) == 0);
  }
}
