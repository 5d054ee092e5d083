#include <LibServing/GuardFleet.h>

using namespace laburnum;
using namespace laburnum::test;

namespace {

constexpr std::uint64_t FirstInnocent = 100;

std::vector<BackendServer> servers(std::string const &Centre,
                                   std::size_t Count) {
  std::vector<BackendServer> Made;
  for (std::size_t Place = 0; Place < Count; ++Place)
    Made.push_back(guardedServer(Centre + std::to_string(Place), Centre));
  return Made;
}

std::vector<BackendServer> both(std::vector<BackendServer> Left,
                                std::vector<BackendServer> const &Right) {
  Left.insert(Left.end(), Right.begin(), Right.end());
  return Left;
}

/// Requests of many contents through all instances; crashed servers are
/// shared with some of them.
void sendInnocents(GuardFleet &Fleet, std::size_t Count,
                   Duration Length = milliseconds(100)) {
  for (std::size_t Place = 0; Place < Count; ++Place)
    Fleet.send(Place % 8, FirstInnocent + Place, Length);
}

void runUntilFirstCrash(GuardFleet &Fleet) {
  for (int Step = 0; Step < 1000 && Fleet.Gone_.empty(); ++Step)
    Fleet.run(milliseconds(1));
  REQUIRE(Fleet.Gone_.size() == 1);
}

void checkRefused(GuardFleet const &Fleet) {
  for (auto const &One : Fleet.Requests_) {
    if (One->Fingerprint_ != Fleet.Crasher_)
      continue;
    REQUIRE(One->Failure_);
    CHECK(One->Failure_->Failure_.Error_.Kind_ == ErrorKind::InvalidArgument);
    CHECK_FALSE(One->Failure_->Failure_.RetryAfter_);
    CHECK(One->Failure_->Failure_.RunState_ ==
          (One->HasRun_ ? RunState::MayHaveRun : RunState::NotRun));
  }
}

} // namespace

TEST_CASE("A crashing content that is sent again everywhere costs two servers "
          "and no innocent content is refused") {
  auto const Seed = GENERATE(range(1, 21));
  CAPTURE(Seed);
  GuardFleet Fleet({}, both(servers("east", 10), servers("west", 10)), Seed);
  sendInnocents(Fleet, 60);
  Fleet.send(0, Fleet.Crasher_);
  runUntilFirstCrash(Fleet);
  // Every peer has the first report after the longest delay of a message.
  Fleet.run(milliseconds(6));
  for (std::size_t Place = 0; Place < 8; ++Place)
    Fleet.send(Place, Fleet.Crasher_);
  Fleet.run(seconds(3));
  CHECK(Fleet.Gone_.size() == 2);
  checkRefused(Fleet);
  auto const Late = Fleet.Now_;
  auto const &Again = Fleet.send(5, Fleet.Crasher_);
  CHECK(Again.FinishedAt_ == Late);
  CHECK(Again.Failure_->Failure_.RunState_ == RunState::NotRun);
  sendInnocents(Fleet, 60);
  Fleet.run(seconds(3));
  CHECK(Fleet.failures(FirstInnocent) == 0);
  CHECK(Fleet.Gone_.size() == 2);
}

// A copy at an instance that was not told costs a server, and that loss can
// make an earlier crash look like part of a reclaim, which costs another.
TEST_CASE("With messages lost, a crashing content costs two more servers at "
          "most for each instance that was not told") {
  auto const Seed = GENERATE(range(1, 21));
  CAPTURE(Seed);
  GuardFleet Fleet({8, milliseconds(40), 0.3},
                   both(servers("east", 10), servers("west", 10)), Seed);
  Fleet.send(0, Fleet.Crasher_);
  runUntilFirstCrash(Fleet);
  std::size_t NotTold = 0;
  for (std::size_t Place = 1; Place < 8; ++Place) {
    NotTold += Fleet.knows(Place, Fleet.Crasher_) ? 0 : 1;
    Fleet.send(Place, Fleet.Crasher_);
    Fleet.run(milliseconds(5));
  }
  Fleet.run(seconds(20));
  CHECK(Fleet.Gone_.size() <= 2 + 2 * NotTold);
  checkRefused(Fleet);
}

TEST_CASE("Each part that is cut off loses two servers at most") {
  auto const Seed = GENERATE(range(1, 11));
  CAPTURE(Seed);
  auto const East = servers("east", 10);
  auto const West = servers("west", 10);
  GuardFleet Fleet({}, both(East, West), Seed);
  Fleet.cut({0, 0, 0, 0, 1, 1, 1, 1}, {East, West});
  sendInnocents(Fleet, 40);
  Fleet.send(0, Fleet.Crasher_);
  Fleet.send(4, Fleet.Crasher_);
  Fleet.run(milliseconds(20));
  for (std::size_t Place = 0; Place < 8; ++Place)
    Fleet.send(Place, Fleet.Crasher_);
  Fleet.run(seconds(3));
  CHECK(Fleet.Gone_.size() == 4);
  Fleet.joinAll();
  Fleet.run(seconds(3));
  for (std::size_t Place = 0; Place < 8; ++Place)
    Fleet.send(Place, Fleet.Crasher_);
  Fleet.run(seconds(1));
  CHECK(Fleet.Gone_.size() == 4);
  checkRefused(Fleet);
  CHECK(Fleet.failures(FirstInnocent) == 0);
}

TEST_CASE("Contents moved twice by reclaims without notice all complete") {
  auto const IsWholeCentre = GENERATE(true, false);
  CAPTURE(IsWholeCentre);
  auto const East = servers("east", 6);
  auto const West = servers("west", 6);
  GuardFleet Fleet({}, both(both(East, West), servers("south", 6)), 1);
  sendInnocents(Fleet, 80, seconds(1));
  for (auto const *Centre : {&East, &West}) {
    Fleet.run(milliseconds(300));
    for (auto const &One : *Centre) {
      Fleet.take(One.Id_, Going::MachineLost);
      if (!IsWholeCentre)
        break; // One machine alone, so that no wave is seen.
    }
  }
  Fleet.run(seconds(55));
  for (auto const &One : Fleet.Requests_) {
    CHECK(One->FinishedAt_);
    CHECK_FALSE(One->Failure_);
  }
}

TEST_CASE("Innocent content whose trial ends well runs with others again") {
  GuardFleet Fleet({}, servers("east", 4), 1);
  Fleet.Crasher_ = 0;
  auto const &Moved = Fleet.send(0, FirstInnocent);
  Fleet.run(milliseconds(10));
  REQUIRE(Moved.Server_);
  Fleet.take(ServerId(*Moved.Server_), Going::Crashed);
  Fleet.run(milliseconds(60));
  CHECK(Fleet.knows(3, FirstInnocent));
  Fleet.run(seconds(2));
  CHECK(Moved.FinishedAt_);
  CHECK_FALSE(Moved.Failure_);
  CHECK_FALSE(Fleet.knows(3, FirstInnocent));
}
