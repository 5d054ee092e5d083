#include <LibPlacement/EngineOrderScheduler.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

using std::chrono::seconds;

TimePoint const Start = TimePoint(seconds(1000));
constexpr Duration MaxDelay = seconds(3);

BackendServer server(std::string const &Id, FencingCheck Fencing) {
  BackendServer Made;
  Made.Id_ = ServerId(Id);
  Made.Service_ = ServiceName("chat");
  Made.Fencing_ = Fencing;
  return Made;
}

EngineOrderSettings settings() {
  EngineOrderSettings Made;
  Made.MaxDeliveryDelay_ = MaxDelay;
  Made.LoadsPerSecond_ = 1000000;
  return Made;
}

HeldLease heldLease(std::uint64_t Fencing, TimePoint AcquiredAt,
                    Duration Length = seconds(10)) {
  return {Fencing, AcquiredAt, AcquiredAt + Length};
}

} // namespace

TEST_CASE("A new holder waits before it sends orders to an unfenced engine") {
  EngineOrderScheduler Scheduler(settings());
  Scheduler.setServers({server("fenced", FencingCheck::Honoured),
                        server("unfenced", FencingCheck::Ignored)});
  auto const Lease = heldLease(5, Start);
  auto const First = Scheduler.dueOrders(Lease, Start);
  REQUIRE(First.size() == 2);
  for (auto const &Order : First)
    CHECK(Order.Server_.Id_ == ServerId("fenced"));
  CHECK(Scheduler.dueOrders(Lease, Start + MaxDelay - Duration(1)).empty());
  auto const Second = Scheduler.dueOrders(Lease, Start + MaxDelay);
  REQUIRE(Second.size() == 2);
  CHECK(Second.front().Server_.Id_ == ServerId("unfenced"));
}

TEST_CASE("An unfenced engine gets no order that could outlast the lease") {
  for (auto At = Start; At < Start + seconds(15); At += Duration(100000)) {
    EngineOrderScheduler Scheduler(settings());
    Scheduler.setServers({server("unfenced", FencingCheck::Ignored)});
    auto const Lease = heldLease(5, Start);
    for (auto const &Order : Scheduler.dueOrders(Lease, At)) {
      CHECK(At + MaxDelay < Lease.ValidUntil_);
      CHECK(Order.SendBefore_ + MaxDelay == Lease.ValidUntil_);
    }
  }
}

TEST_CASE("A new lease sends all orders again under its fencing number") {
  EngineOrderScheduler Scheduler(settings());
  Scheduler.setServers({server("unfenced", FencingCheck::Ignored)});
  auto const First = Scheduler.dueOrders(heldLease(5, Start), Start + MaxDelay);
  REQUIRE(First.size() == 2);
  for (auto const &Order : First)
    Scheduler.onOrderEnded(Order.Order_.OrderId_, EngineOrderOutcome::Done,
                           Start + MaxDelay);
  CHECK(Scheduler.dueOrders(heldLease(5, Start), Start + MaxDelay + seconds(1))
            .empty());
  auto const Later = Start + seconds(60);
  auto const Second =
      Scheduler.dueOrders(heldLease(9, Later), Later + MaxDelay);
  REQUIRE(Second.size() == 2);
  for (std::size_t Each = 0; Each < 2; ++Each) {
    CHECK(Second[Each].Order_.Fencing_ == 9);
    CHECK(Second[Each].Order_.OrderId_ != First[Each].Order_.OrderId_);
  }
}

TEST_CASE(
    "Model loads stay within the weight store's rate, failed ones included") {
  auto Slow = settings();
  Slow.LoadsPerSecond_ = 2;
  Slow.RetryPause_ = seconds(1);
  EngineOrderScheduler Scheduler(Slow);
  std::vector<BackendServer> Servers;
  for (int Each = 0; Each < 50; ++Each)
    Servers.push_back(
        server("s" + std::to_string(Each), FencingCheck::Honoured));
  Scheduler.setServers(Servers);
  int Loads = 0;
  for (auto At = Start; At < Start + seconds(10); At += Duration(50000))
    for (auto const &Order :
         Scheduler.dueOrders(heldLease(5, Start, seconds(60)), At)) {
      Loads += Order.Order_.Kind_ == EngineOrderKind::LoadModel ? 1 : 0;
      Scheduler.onOrderEnded(Order.Order_.OrderId_, EngineOrderOutcome::Failed,
                             At);
    }
  CHECK(Loads == 20);
}
