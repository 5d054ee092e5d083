#include "Site.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <csignal>
#include <future>
#include <mutex>

using namespace laburnum;
using namespace laburnum::processes;

namespace {

/// The platform holds each call this long, so that a claim is on its way when
/// its sender is stopped or killed.
constexpr int HeldMilliseconds = 700;

void holdPlatform(Site &Running) {
  Running.platform().fault({{"kind", "slow"}, {"delay_ms", HeldMilliseconds}});
}

void releasePlatform(Site &Running) {
  Running.platform().fault({{"kind", "slow"}, {"on", false}});
}

std::uint64_t puts(Site &Running) {
  auto const Got = call(Running.platform().Port_, "GET", "/counters");
  return nlohmann::json::parse(Got.Body_).at("put").get<std::uint64_t>();
}

/// Sends a fee through the first instance and gives that instance a signal
/// when its claim has reached the platform but not taken effect.
std::future<Answer> sendAndSignal(Site &Running, std::string const &Key,
                                  int Signal) {
  auto const Before = puts(Running);
  holdPlatform(Running);
  auto Sent = std::async(std::launch::async,
                         [&Running, Key] { return Running.fee(0, Key); });
  REQUIRE(await([&] { return puts(Running) > Before; }));
  Running.instance(0).Process_->signal(Signal);
  REQUIRE(await([&] { return Running.isClaimed(Key); }));
  releasePlatform(Running);
  return Sent;
}

} // namespace

TEST_CASE("an instance killed between claim and dispatch leaves a fee that no "
          "other one runs") {
  Site Running(2);
  auto Sent = sendAndSignal(Running, "fee-2", SIGKILL);
  REQUIRE(Sent.get().Status_ == 0);
  REQUIRE(Running.fee(1, "fee-2").runState() == "may_have_run");
  REQUIRE(Running.runsOf("fee-2") == 0);
}

TEST_CASE("an instance paused with a claim in flight and its caller, who goes "
          "elsewhere, run a fee at most once") {
  Site Running(2);
  auto Sent = sendAndSignal(Running, "fee-3", SIGSTOP);
  REQUIRE(Running.fee(1, "fee-3").runState() == "may_have_run");
  Running.instance(0).Process_->signal(SIGCONT);
  auto const First = Sent.get();
  REQUIRE(Running.runsOf("fee-3") <= 1);
  // Whoever was told that it did not run may send again; otherwise it ran.
  if (First.Status_ == 200)
    REQUIRE(Running.runsOf("fee-3") == 1);
  auto const Again = Running.fee(1, "fee-3");
  REQUIRE(Running.runsOf("fee-3") <= 1);
  if (First.Status_ == 200)
    REQUIRE((Again.Body_ == First.Body_ || Again.runState() == "may_have_run"));
}

TEST_CASE("fees run once each when the platform loses the answers of writes") {
  Site Running(2);
  Running.platform().fault({{"kind", "lose_write_answers"}, {"count", 3}});
  for (int Number = 0; Number < 5; ++Number) {
    auto const Key = "fee-lost-" + std::to_string(Number);
    REQUIRE(Running.fee(0, Key).Status_ == 200);
    REQUIRE(Running.runsOf(Key) == 1);
  }
}

TEST_CASE("a slow platform delays fees and fails none") {
  Site Running(1);
  Running.platform().fault({{"kind", "slow"}, {"delay_ms", 300}});
  REQUIRE(Running.fee(0, "fee-slow").Status_ == 200);
  REQUIRE(Running.runsOf("fee-slow") == 1);
  REQUIRE(Running.status(0).Status_ == 200);
}

TEST_CASE("with the platform down a fee is refused as not run, and what needs "
          "no platform is served") {
  Site Running(1);
  Running.platform().Process_->signal(SIGKILL);
  Running.platform().Process_->awaitEnd();
  REQUIRE(Running.fee(0, "fee-down").runState() == "not_run");
  REQUIRE(Running.runsOf("fee-down") == 0);
  REQUIRE(Running.status(0).Status_ == 200);
}

TEST_CASE("a planned stop under load fails no request") {
  Site Running(2);
  std::atomic<bool> IsReady = true;
  std::uint32_t Answered = 0;
  std::mutex Mutex;
  std::condition_variable AnsweredMore;
  std::vector<std::string> Failures;
  auto const Send = [&](std::uint32_t Thread) {
    for (std::uint32_t Number = 0; IsReady; ++Number) {
      auto const Key =
          "fee-" + std::to_string(Thread) + "-" + std::to_string(Number);
      auto const Got =
          Thread % 2 == 0 ? Running.status(0) : Running.fee(0, Key);
      std::lock_guard const Lock(Mutex);
      if (Got.Status_ == 200) {
        ++Answered;
        AnsweredMore.notify_one();
        continue;
      }
      Failures.push_back(std::to_string(Got.Status_) + " " + Got.Body_);
    }
  };
  std::vector<std::future<void>> Callers;
  for (std::uint32_t Thread = 0; Thread < 6; ++Thread)
    Callers.push_back(std::async(std::launch::async, Send, Thread));
  {
    std::unique_lock Lock(Mutex);
    CHECK(AnsweredMore.wait_for(Lock, Ample, [&] { return Answered >= 50; }));
  }
  auto const &Stopped = Running.instance(0);
  Stopped.Process_->signal(SIGTERM);
  // As the platform's balancer does: no new calls once it is not ready.
  CHECK(await([&] {
    return call(Stopped.Callers_, "GET", "/healthz/ready").Status_ != 200;
  }));
  IsReady = false;
  for (auto &One : Callers)
    One.get();
  CAPTURE(Failures);
  REQUIRE(Failures.empty());
  REQUIRE(Running.instance(0).Process_->awaitEnd() == 0);
}

TEST_CASE("a service applied on one instance is served by every other within "
          "two seconds") {
  constexpr Duration Target = std::chrono::seconds(2);
  Site Running(4);
  Running.applyService(0, "label-desk");
  auto const Applied = readClock();
  for (std::size_t Index = 1; Index < Running.instances(); ++Index)
    REQUIRE(await([&] {
      return Running.serves(Running.instance(Index).Callers_,
                            "/services/label-desk/status");
    }));
  REQUIRE(readClock() - Applied < Target);
}

TEST_CASE("an instance that starts in an outage takes its configuration from "
          "its peers") {
  Site Running(2);
  Running.platform().Process_->signal(SIGKILL);
  Running.platform().Process_->awaitEnd();
  auto const &Late = Running.addInstance();
  REQUIRE(await([&] {
    return Running.serves(Late.Callers_, "/services/entry-desk/status");
  }));
}
