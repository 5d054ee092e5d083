#include "LocalDeployment.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <csignal>
#include <future>
#include <mutex>

using namespace laburnum;
using namespace laburnum::processes;

namespace {

/// The platform delays each call by this time so that a claim is still in
/// flight when its sender is stopped or killed.
constexpr int PlatformDelayMilliseconds = 700;

void delayPlatform(LocalDeployment &Deployment) {
  Deployment.platform().injectFault(
      {{"kind", "slow"}, {"delay_ms", PlatformDelayMilliseconds}});
}

void restorePlatform(LocalDeployment &Deployment) {
  Deployment.platform().injectFault({{"kind", "slow"}, {"on", false}});
}

std::uint64_t puts(LocalDeployment &Deployment) {
  auto const Response = call(Deployment.platform().Port_, "GET", "/counters");
  return nlohmann::json::parse(Response.Body_).at("put").get<std::uint64_t>();
}

/// Sends a fee through the first instance and sends that instance a signal
/// while its claim has reached the platform but has not taken effect.
std::future<Answer> sendAndSignal(LocalDeployment &Deployment,
                                  std::string const &Key, int Signal) {
  auto const Before = puts(Deployment);
  delayPlatform(Deployment);
  auto Sent = std::async(std::launch::async,
                         [&Deployment, Key] { return Deployment.fee(0, Key); });
  REQUIRE(await([&] { return puts(Deployment) > Before; }));
  Deployment.instance(0).Process_->signal(Signal);
  REQUIRE(await([&] { return Deployment.isClaimed(Key); }));
  restorePlatform(Deployment);
  return Sent;
}

} // namespace

TEST_CASE("after an instance is killed between claim and dispatch, no other "
          "instance runs the fee") {
  LocalDeployment Deployment(2);
  auto Sent = sendAndSignal(Deployment, "fee-2", SIGKILL);
  REQUIRE(Sent.get().Status_ == 0);
  REQUIRE(Deployment.fee(1, "fee-2").runState() == "may_have_run");
  REQUIRE(Deployment.runsOf("fee-2") == 0);
}

TEST_CASE("a fee runs at most once if its instance is paused with the claim in "
          "flight and the caller retries elsewhere") {
  LocalDeployment Deployment(2);
  auto Sent = sendAndSignal(Deployment, "fee-3", SIGSTOP);
  REQUIRE(Deployment.fee(1, "fee-3").runState() == "may_have_run");
  Deployment.instance(0).Process_->signal(SIGCONT);
  auto const First = Sent.get();
  REQUIRE(Deployment.runsOf("fee-3") <= 1);
  // A caller that got "not run" may retry; a success means that it ran once.
  if (First.Status_ == 200)
    REQUIRE(Deployment.runsOf("fee-3") == 1);
  auto const Again = Deployment.fee(1, "fee-3");
  REQUIRE(Deployment.runsOf("fee-3") <= 1);
  if (First.Status_ == 200)
    REQUIRE((Again.Body_ == First.Body_ || Again.runState() == "may_have_run"));
}

TEST_CASE("each fee runs once if the platform loses the answers of writes") {
  LocalDeployment Deployment(2);
  Deployment.platform().injectFault(
      {{"kind", "lose_write_answers"}, {"count", 3}});
  for (int Number = 0; Number < 5; ++Number) {
    auto const Key = "fee-lost-" + std::to_string(Number);
    REQUIRE(Deployment.fee(0, Key).Status_ == 200);
    REQUIRE(Deployment.runsOf(Key) == 1);
  }
}

TEST_CASE("a slow platform delays fees but fails none") {
  LocalDeployment Deployment(1);
  Deployment.platform().injectFault({{"kind", "slow"}, {"delay_ms", 300}});
  REQUIRE(Deployment.fee(0, "fee-slow").Status_ == 200);
  REQUIRE(Deployment.runsOf("fee-slow") == 1);
  REQUIRE(Deployment.status(0).Status_ == 200);
}

TEST_CASE("without the platform, fees are refused as not run and other calls "
          "are served") {
  LocalDeployment Deployment(1);
  Deployment.platform().Process_->signal(SIGKILL);
  Deployment.platform().Process_->awaitEnd();
  REQUIRE(Deployment.fee(0, "fee-down").runState() == "not_run");
  REQUIRE(Deployment.runsOf("fee-down") == 0);
  REQUIRE(Deployment.status(0).Status_ == 200);
}

TEST_CASE("a graceful stop under load fails no request") {
  LocalDeployment Deployment(2);
  std::atomic<bool> IsReady = true;
  std::uint32_t Answered = 0;
  std::mutex Mutex;
  std::condition_variable AnsweredMore;
  std::vector<std::string> Failures;
  auto const Send = [&](std::uint32_t Thread) {
    for (std::uint32_t Number = 0; IsReady; ++Number) {
      auto const Key =
          "fee-" + std::to_string(Thread) + "-" + std::to_string(Number);
      auto const Response =
          Thread % 2 == 0 ? Deployment.status(0) : Deployment.fee(0, Key);
      std::lock_guard const Lock(Mutex);
      if (Response.Status_ == 200) {
        ++Answered;
        AnsweredMore.notify_one();
        continue;
      }
      Failures.push_back(std::to_string(Response.Status_) + " " +
                         Response.Body_);
    }
  };
  std::vector<std::future<void>> Callers;
  for (std::uint32_t Thread = 0; Thread < 6; ++Thread)
    Callers.push_back(std::async(std::launch::async, Send, Thread));
  {
    std::unique_lock Lock(Mutex);
    CHECK(AnsweredMore.wait_for(Lock, TestTimeout,
                                [&] { return Answered >= 50; }));
  }
  auto const &Stopped = Deployment.instance(0);
  Stopped.Process_->signal(SIGTERM);
  // Like the platform's load balancer, send no new calls to an instance that is
  // not ready.
  CHECK(await([&] {
    return call(Stopped.Callers_, "GET", "/healthz/ready").Status_ != 200;
  }));
  IsReady = false;
  for (auto &Element : Callers)
    Element.get();
  CAPTURE(Failures);
  REQUIRE(Failures.empty());
  REQUIRE(Deployment.instance(0).Process_->awaitEnd() == 0);
}

TEST_CASE("a service applied on one instance is served by all others within "
          "two seconds") {
  constexpr Duration Target = std::chrono::seconds(2);
  LocalDeployment Deployment(4);
  Deployment.applyService(0, "label-desk");
  auto const Applied = readClock();
  for (std::size_t Index = 1; Index < Deployment.instances(); ++Index)
    REQUIRE(await([&] {
      return Deployment.serves(Deployment.instance(Index).Callers_,
                               "/services/label-desk/status");
    }));
  REQUIRE(readClock() - Applied < Target);
}

TEST_CASE("an instance that starts during a platform outage gets its "
          "configuration from peers") {
  LocalDeployment Deployment(2);
  Deployment.platform().Process_->signal(SIGKILL);
  Deployment.platform().Process_->awaitEnd();
  auto const &NewInstance = Deployment.addInstance();
  REQUIRE(await([&] {
    return Deployment.serves(NewInstance.Callers_,
                             "/services/entry-desk/status");
  }));
}
