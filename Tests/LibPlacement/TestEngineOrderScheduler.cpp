#include <LibPlacement/EngineOrderScheduler.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

using std::chrono::seconds;

TimePoint const Start = TimePoint(seconds(1000));
constexpr Duration Flight = seconds(3);

BackendServer server(std::string const &Id, FencingCheck Fencing) {
  BackendServer Made;
  Made.Id_ = ServerId(Id);
  Made.Service_ = ServiceName("chat");
  Made.Fencing_ = Fencing;
  return Made;
}

EngineOrderSettings settings() {
  EngineOrderSettings Made;
  Made.MaxDeliveryDelay_ = Flight;
  Made.LoadsPerSecond_ = 1000000;
  return Made;
}

HeldLease reign(std::uint64_t Fencing, TimePoint Gained,
                Duration Length = seconds(10)) {
  return {Fencing, Gained, Gained + Length};
}

} // namespace

TEST_CASE("A new holder waits before it orders an unfenced engine") {
  EngineOrderScheduler Desk(settings());
  Desk.setServers({server("fenced", FencingCheck::Honoured),
                   server("unfenced", FencingCheck::Ignored)});
  auto const Reign = reign(5, Start);
  auto const First = Desk.dueOrders(Reign, Start);
  REQUIRE(First.size() == 2);
  for (auto const &One : First)
    CHECK(One.Server_.Id_ == ServerId("fenced"));
  CHECK(Desk.dueOrders(Reign, Start + Flight - Duration(1)).empty());
  auto const Second = Desk.dueOrders(Reign, Start + Flight);
  REQUIRE(Second.size() == 2);
  CHECK(Second.front().Server_.Id_ == ServerId("unfenced"));
}

TEST_CASE("An unfenced engine gets no order outside the proven time") {
  for (auto At = Start; At < Start + seconds(15); At += Duration(100000)) {
    EngineOrderScheduler Desk(settings());
    Desk.setServers({server("unfenced", FencingCheck::Ignored)});
    auto const Reign = reign(5, Start);
    for (auto const &One : Desk.dueOrders(Reign, At)) {
      CHECK(At + Flight < Reign.ValidUntil_);
      CHECK(One.SendBefore_ + Flight == Reign.ValidUntil_);
    }
  }
}

TEST_CASE("A new lease asserts everything anew under its number") {
  EngineOrderScheduler Desk(settings());
  Desk.setServers({server("unfenced", FencingCheck::Ignored)});
  auto const First = Desk.dueOrders(reign(5, Start), Start + Flight);
  REQUIRE(First.size() == 2);
  for (auto const &One : First)
    Desk.onOrderEnded(One.Order_.OrderId_, EngineOrderOutcome::Done,
                      Start + Flight);
  CHECK(Desk.dueOrders(reign(5, Start), Start + Flight + seconds(1)).empty());
  auto const Later = Start + seconds(60);
  auto const Second = Desk.dueOrders(reign(9, Later), Later + Flight);
  REQUIRE(Second.size() == 2);
  for (std::size_t Each = 0; Each < 2; ++Each) {
    CHECK(Second[Each].Order_.Fencing_ == 9);
    CHECK(Second[Each].Order_.OrderId_ != First[Each].Order_.OrderId_);
  }
}

TEST_CASE("Loads stay within the weight store's rate, failures too") {
  auto Slow = settings();
  Slow.LoadsPerSecond_ = 2;
  Slow.RetryPause_ = seconds(1);
  EngineOrderScheduler Desk(Slow);
  std::vector<BackendServer> Servers;
  for (int Each = 0; Each < 50; ++Each)
    Servers.push_back(
        server("s" + std::to_string(Each), FencingCheck::Honoured));
  Desk.setServers(Servers);
  int Loads = 0;
  for (auto At = Start; At < Start + seconds(10); At += Duration(50000))
    for (auto const &One : Desk.dueOrders(reign(5, Start, seconds(60)), At)) {
      Loads += One.Order_.Kind_ == EngineOrderKind::LoadModel ? 1 : 0;
      Desk.onOrderEnded(One.Order_.OrderId_, EngineOrderOutcome::Failed, At);
    }
  CHECK(Loads == 20);
}
