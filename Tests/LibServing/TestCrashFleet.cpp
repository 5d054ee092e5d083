#include <LibServing/GuardFleet.h>

using namespace laburnum;
using namespace laburnum::test;

namespace {

constexpr std::uint64_t FirstInnocent = 100;

std::vector<BackendServer> servers(std::string const &Centre,
                                   std::size_t Count) {
  std::vector<BackendServer> Made;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Made.push_back(guardedServer(Centre + std::to_string(Index), Centre));
  return Made;
}

std::vector<BackendServer> both(std::vector<BackendServer> Left,
                                std::vector<BackendServer> const &Right) {
  Left.insert(Left.end(), Right.begin(), Right.end());
  return Left;
}

/// Sends requests of many contents through all instances. Some of them share
/// servers that crash.
void sendInnocents(GuardFleet &Fleet, std::size_t Count,
                   Duration Length = milliseconds(100)) {
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.send(Index % 8, FirstInnocent + Index, Length);
}

void runUntilFirstCrash(GuardFleet &Fleet) {
  for (int Step = 0; Step < 1000 && Fleet.Lost_.empty(); ++Step)
    Fleet.run(milliseconds(1));
  REQUIRE(Fleet.Lost_.size() == 1);
}

void checkRefused(GuardFleet const &Fleet) {
  for (auto const &One : Fleet.Requests_) {
    if (One->Fingerprint_ != Fleet.CrashingContent_)
      continue;
    REQUIRE(One->Failure_);
    CHECK(One->Failure_->Failure_.Error_.Kind_ == ErrorKind::InvalidArgument);
    CHECK_FALSE(One->Failure_->Failure_.RetryAfter_);
    CHECK(One->Failure_->Failure_.RunState_ ==
          (One->HasRun_ ? RunState::MayHaveRun : RunState::NotRun));
  }
}

} // namespace

TEST_CASE("Crashing content that is resent everywhere costs two servers and no "
          "innocent content is refused") {
  auto const Seed = GENERATE(range(1, 21));
  CAPTURE(Seed);
  GuardFleet Fleet({}, both(servers("east", 10), servers("west", 10)), Seed);
  sendInnocents(Fleet, 60);
  Fleet.send(0, Fleet.CrashingContent_);
  runUntilFirstCrash(Fleet);
  // Every peer has the first report after the maximum message delay.
  Fleet.run(milliseconds(6));
  for (std::size_t Index = 0; Index < 8; ++Index)
    Fleet.send(Index, Fleet.CrashingContent_);
  Fleet.run(seconds(3));
  CHECK(Fleet.Lost_.size() == 2);
  checkRefused(Fleet);
  auto const Late = Fleet.Now_;
  auto const &Again = Fleet.send(5, Fleet.CrashingContent_);
  CHECK(Again.FinishedAt_ == Late);
  CHECK(Again.Failure_->Failure_.RunState_ == RunState::NotRun);
  sendInnocents(Fleet, 60);
  Fleet.run(seconds(3));
  CHECK(Fleet.failures(FirstInnocent) == 0);
  CHECK(Fleet.Lost_.size() == 2);
}

// A copy at an instance without the report costs a server, and that loss can
// make an earlier crash look like part of a reclaim, which costs another.
TEST_CASE("With lost messages, crashing content costs at most two more servers "
          "for each instance that was not notified") {
  auto const Seed = GENERATE(range(1, 21));
  CAPTURE(Seed);
  GuardFleet Fleet({8, milliseconds(40), 0.3},
                   both(servers("east", 10), servers("west", 10)), Seed);
  Fleet.send(0, Fleet.CrashingContent_);
  runUntilFirstCrash(Fleet);
  std::size_t NotNotified = 0;
  for (std::size_t Index = 1; Index < 8; ++Index) {
    NotNotified += Fleet.suspects(Index, Fleet.CrashingContent_) ? 0 : 1;
    Fleet.send(Index, Fleet.CrashingContent_);
    Fleet.run(milliseconds(5));
  }
  Fleet.run(seconds(20));
  CHECK(Fleet.Lost_.size() <= 2 + 2 * NotNotified);
  checkRefused(Fleet);
}

TEST_CASE("Each side of a partition loses at most two servers") {
  auto const Seed = GENERATE(range(1, 11));
  CAPTURE(Seed);
  auto const East = servers("east", 10);
  auto const West = servers("west", 10);
  GuardFleet Fleet({}, both(East, West), Seed);
  Fleet.partition({0, 0, 0, 0, 1, 1, 1, 1}, {East, West});
  sendInnocents(Fleet, 40);
  Fleet.send(0, Fleet.CrashingContent_);
  Fleet.send(4, Fleet.CrashingContent_);
  Fleet.run(milliseconds(20));
  for (std::size_t Index = 0; Index < 8; ++Index)
    Fleet.send(Index, Fleet.CrashingContent_);
  Fleet.run(seconds(3));
  CHECK(Fleet.Lost_.size() == 4);
  Fleet.healPartition();
  Fleet.run(seconds(3));
  for (std::size_t Index = 0; Index < 8; ++Index)
    Fleet.send(Index, Fleet.CrashingContent_);
  Fleet.run(seconds(1));
  CHECK(Fleet.Lost_.size() == 4);
  checkRefused(Fleet);
  CHECK(Fleet.failures(FirstInnocent) == 0);
}

TEST_CASE("Contents moved twice by reclaims without notice all complete") {
  auto const IsEntireDataCentre = GENERATE(true, false);
  CAPTURE(IsEntireDataCentre);
  auto const East = servers("east", 6);
  auto const West = servers("west", 6);
  GuardFleet Fleet({}, both(both(East, West), servers("south", 6)), 1);
  sendInnocents(Fleet, 80, seconds(1));
  for (auto const *Centre : {&East, &West}) {
    Fleet.run(milliseconds(300));
    for (auto const &One : *Centre) {
      Fleet.loseServer(One.Id_, ServerLoss::MachineLost);
      if (!IsEntireDataCentre)
        break; // A single machine, so that it does not look like a reclaim.
    }
  }
  Fleet.run(seconds(55));
  for (auto const &One : Fleet.Requests_) {
    CHECK(One->FinishedAt_);
    CHECK_FALSE(One->Failure_);
  }
}

TEST_CASE(
    "Innocent content is no longer isolated after a successful isolated run") {
  GuardFleet Fleet({}, servers("east", 4), 1);
  Fleet.CrashingContent_ = 0;
  auto const &Moved = Fleet.send(0, FirstInnocent);
  Fleet.run(milliseconds(10));
  REQUIRE(Moved.Server_);
  Fleet.loseServer(ServerId(*Moved.Server_), ServerLoss::Crashed);
  Fleet.run(milliseconds(60));
  CHECK(Fleet.suspects(3, FirstInnocent));
  Fleet.run(seconds(2));
  CHECK(Moved.FinishedAt_);
  CHECK_FALSE(Moved.Failure_);
  CHECK_FALSE(Fleet.suspects(3, FirstInnocent));
}
