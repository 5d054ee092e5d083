#include "LocalDeployment.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

using namespace laburnum;
using namespace laburnum::processes;

namespace {

constexpr std::uint32_t Tokens = 60;
constexpr std::uint32_t Halfway = Tokens / 2;
constexpr char Prompt[] = "write a dossier on hard cheese";

/// Returns the engine that has a request in progress.
Standin &busyEngine(LocalDeployment &Deployment) {
  for (auto const &Element : Deployment.engines())
    if (Element->count("started") > Element->count("finished"))
      return *Element;
  throw std::runtime_error("no runner is busy");
}

} // namespace

TEST_CASE("killing an engine in mid-stream is invisible to the caller") {
  LocalDeployment Deployment(1);
  auto const Undisturbed = Deployment.completion(0, Prompt, Tokens);
  REQUIRE_FALSE(Undisturbed.empty());
  bool IsKilled = false;
  auto const Text =
      Deployment.completion(0, Prompt, Tokens, [&](std::uint32_t Seen) {
        if (Seen != Halfway)
          return;
        busyEngine(Deployment).Process_->signal(SIGKILL);
        IsKilled = true;
      });
  REQUIRE(IsKilled);
  REQUIRE(Text == Undisturbed);
}

TEST_CASE("a stream moves off a stopped engine and repeats no token when the "
          "engine continues") {
  LocalDeployment Deployment(1);
  auto const Undisturbed = Deployment.completion(0, Prompt, Tokens);
  REQUIRE_FALSE(Undisturbed.empty());
  Standin *Stopped = nullptr;
  auto const Text =
      Deployment.completion(0, Prompt, Tokens, [&](std::uint32_t Seen) {
        if (Seen == Halfway) {
          Stopped = &busyEngine(Deployment);
          Stopped->Process_->signal(SIGSTOP);
        }
        // Another engine has taken over by now.
        if (Seen == Tokens - 1)
          Stopped->Process_->signal(SIGCONT);
      });
  REQUIRE(Stopped);
  REQUIRE(Text == Undisturbed);
}

TEST_CASE(
    "a fee is not run again if its server dies between execution and answer") {
  LocalDeployment Deployment(2);
  for (auto const &Server : Deployment.serviceServers())
    Server->injectFault({{"kind", "slow"}, {"count", 1}, {"delay_ms", 600000}});
  auto First = std::async(std::launch::async,
                          [&] { return Deployment.fee(0, "fee-1"); });
  REQUIRE(await([&] { return Deployment.runsOf("fee-1") == 1; }));
  auto &Desks = Deployment.serviceServers();
  auto const Ran = Desks[0]->runsOf("fee-1") == 1 ? 0U : 1U;
  Desks[Ran]->Process_->signal(SIGKILL);
  Desks[Ran]->Process_->awaitEnd();
  REQUIRE(First.get().runState() == "may_have_run");
  auto const &Other = *Desks[1 - Ran];
  for (std::size_t const Index : {0U, 1U})
    REQUIRE(Deployment.fee(Index, "fee-1").runState() == "may_have_run");
  REQUIRE(Other.runsOf("fee-1") == 0);
}
