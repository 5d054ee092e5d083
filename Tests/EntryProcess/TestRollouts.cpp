#include "EntryProcess.h"
#include "ServerStandin.h"
#include "StandinRecords.h"
#include "StandinThread.h"
#include "StoreStandin.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

constexpr std::uint16_t Slots = 64;

/// Instances before one server of each of two software versions, of which v2 is
/// to be rolled out.
class VersionedDesk {
public:
  explicit VersionedDesk(unsigned Instances) {
    Thread_.on([this] {
      StoreListener_ = std::get<0>(
          HttpListener::create(Thread_.context(), {"127.0.0.1", 0}, Store_));
      Store_.put("config", "main", configurationJson(1));
      add("i-1", "v1", Old_);
      add("i-2", "v2", New_);
    });
    for (unsigned Number = 0; Number < Instances; ++Number) {
      Instances_.push_back(std::make_unique<EntryProcess>(
          Number, StoreListener_->localEndpoint().Port_));
      Instances_.back()->addSettings("contracts=base,rollout,platform\n");
      Instances_.back()->start();
    }
  }
  ~VersionedDesk() {
    Instances_.clear();
    Thread_.on([this] {
      StoreListener_->stopAccepting();
      for (auto const &Listener : ServerListeners_)
        Listener->stopAccepting();
    });
    Thread_.stop();
  }
  VersionedDesk(VersionedDesk const &) = delete;
  VersionedDesk &operator=(VersionedDesk const &) = delete;

  void setNewMode(ServerMode Mode) {
    Thread_.on([&] { New_.Mode_ = Mode; });
  }
  void order(int Seconds) {
    Thread_.on([&] {
      Store_.put(
          "rollouts", "desk",
          {{"service", "desk"}, {"target", "v2"}, {"duration_s", Seconds}});
    });
  }
  std::string state() {
    return Thread_.on([this] {
      auto const Status = Store_.status("rollouts", "desk");
      return Status.is_object() ? Status.value("state", "") : std::string();
    });
  }
  std::size_t oldRequests() {
    return Thread_.on([this] { return Old_.Requests_.size(); });
  }
  std::size_t newRequests() {
    return Thread_.on([this] { return New_.Requests_.size(); });
  }
  /// Sends requests through all instances that run until the condition holds.
  template <typename Condition> bool sendUntil(Condition Holds) {
    auto const End = readClock() + processes::TestTimeout;
    while (readClock() < End) {
      if (Holds())
        return true;
      for (auto const &Instance : Instances_)
        Instance->send("GET", "/read/1");
    }
    return false;
  }
  /// What the instances have logged of the roll-out.
  std::string decisions() {
    std::string Lines;
    for (auto const &Instance : Instances_)
      for (auto const &Line : Instance->process().lines())
        if (Line.find("event=rollout") != std::string::npos ||
            Line.find("event=lease_") != std::string::npos)
          Lines += Line + '\n';
    return Lines;
  }
  /// Kills the instance that holds the lease.
  void killHolder() {
    for (auto Holder = Instances_.begin(); Holder != Instances_.end(); ++Holder)
      if ((*Holder)->process().hasWritten("event=lease_gained")) {
        Instances_.erase(Holder);
        return;
      }
  }

private:
  void add(std::string const &Name, std::string const &Version,
           ServerStandin &Server) {
    ServerListeners_.push_back(std::get<0>(
        HttpListener::create(Thread_.context(), {"127.0.0.1", 0}, Server)));
    auto Record = serverJson(ServerListeners_.back()->localEndpoint(), "ready",
                             1700000000000, 1, Version);
    Record["slots"] = Slots;
    Store_.put("servers", Name, Record);
  }

  StandinThread Thread_;
  StoreStandin Store_{Thread_.context()};
  ServerStandin Old_;
  ServerStandin New_;
  std::shared_ptr<HttpListener> StoreListener_;
  std::vector<std::shared_ptr<HttpListener>> ServerListeners_;
  std::vector<std::unique_ptr<EntryProcess>> Instances_;
};

} // namespace

TEST_CASE("A good software version gets all requests in the end, and its order "
          "is completed") {
  VersionedDesk Desk(2);
  Desk.order(4);
  CHECK(Desk.sendUntil([&] { return Desk.state() == "completed"; }));
  CHECK(Desk.newRequests() > 0);
  auto const Old = Desk.oldRequests();
  auto const New = Desk.newRequests();
  CHECK(Desk.sendUntil([&] { return Desk.newRequests() > New + 10; }));
  CHECK(Desk.oldRequests() == Old);
}

TEST_CASE("A bad software version is rolled back and gets no request after "
          "that") {
  VersionedDesk Desk(2);
  Desk.setNewMode(ServerMode::Failing);
  Desk.order(10);
  CHECK(Desk.sendUntil([&] { return Desk.state() == "rolled_back"; }));
  auto const Old = Desk.oldRequests();
  auto const New = Desk.newRequests();
  // What the platform allows a bad version.
  CHECK(static_cast<double>(New) <=
        0.1 * static_cast<double>(Old + New) + 50.0);
  CHECK(Desk.sendUntil([&] { return Desk.oldRequests() > Old + 30; }));
  CHECK(Desk.newRequests() == New);
}

TEST_CASE("A roll-out goes on after the holder of the lease was killed") {
  VersionedDesk Desk(3);
  Desk.order(12);
  REQUIRE(Desk.sendUntil([&] { return Desk.state() == "running"; }));
  Desk.killHolder();
  SECTION("to its end") {
    bool const IsCompleted =
        Desk.sendUntil([&] { return Desk.state() == "completed"; });
    INFO(Desk.decisions());
    CHECK(IsCompleted);
  }
  SECTION("and back, as the version turns bad") {
    Desk.setNewMode(ServerMode::Failing);
    CHECK(Desk.sendUntil([&] { return Desk.state() == "rolled_back"; }));
    auto const New = Desk.newRequests();
    auto const Old = Desk.oldRequests();
    CHECK(Desk.sendUntil([&] { return Desk.oldRequests() > Old + 30; }));
    CHECK(Desk.newRequests() == New);
  }
}
