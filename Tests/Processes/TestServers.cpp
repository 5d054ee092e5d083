#include "Site.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

using namespace laburnum;
using namespace laburnum::processes;

namespace {

constexpr std::uint32_t Tokens = 60;
constexpr std::uint32_t Halfway = Tokens / 2;
constexpr char Prompt[] = "write a dossier on hard cheese";

/// The runner that has a request in progress.
Standin &busyOf(Site &Running) {
  for (auto const &One : Running.runners())
    if (One->count("started") > One->count("finished"))
      return *One;
  throw std::runtime_error("no runner is busy");
}

} // namespace

TEST_CASE("an engine killed in mid-stream costs its caller nothing") {
  Site Running(1);
  auto const Undisturbed = Running.completion(0, Prompt, Tokens);
  REQUIRE_FALSE(Undisturbed.empty());
  bool IsKilled = false;
  auto const Text =
      Running.completion(0, Prompt, Tokens, [&](std::uint32_t Seen) {
        if (Seen != Halfway)
          return;
        busyOf(Running).Process_->signal(SIGKILL);
        IsKilled = true;
      });
  REQUIRE(IsKilled);
  REQUIRE(Text == Undisturbed);
}

TEST_CASE("a stream leaves an engine that is stopped, and nothing of it comes "
          "twice when the engine continues") {
  Site Running(1);
  auto const Undisturbed = Running.completion(0, Prompt, Tokens);
  REQUIRE_FALSE(Undisturbed.empty());
  Standin *Stopped = nullptr;
  auto const Text =
      Running.completion(0, Prompt, Tokens, [&](std::uint32_t Seen) {
        if (Seen == Halfway) {
          Stopped = &busyOf(Running);
          Stopped->Process_->signal(SIGSTOP);
        }
        // By now another engine has taken over.
        if (Seen == Tokens - 1)
          Stopped->Process_->signal(SIGCONT);
      });
  REQUIRE(Stopped);
  REQUIRE(Text == Undisturbed);
}

TEST_CASE("a fee whose service dies between run and answer is not run again") {
  Site Running(2);
  for (auto const &Desk : Running.desks())
    Desk->fault({{"kind", "slow"}, {"count", 1}, {"delay_ms", 600000}});
  auto First =
      std::async(std::launch::async, [&] { return Running.fee(0, "fee-1"); });
  REQUIRE(await([&] { return Running.runsOf("fee-1") == 1; }));
  auto &Desks = Running.desks();
  auto const Ran = Desks[0]->runsOf("fee-1") == 1 ? 0U : 1U;
  Desks[Ran]->Process_->signal(SIGKILL);
  Desks[Ran]->Process_->awaitEnd();
  REQUIRE(First.get().runState() == "may_have_run");
  auto const &Other = *Desks[1 - Ran];
  for (std::size_t const Index : {0U, 1U})
    REQUIRE(Running.fee(Index, "fee-1").runState() == "may_have_run");
  REQUIRE(Other.runsOf("fee-1") == 0);
}
