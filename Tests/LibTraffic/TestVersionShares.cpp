#include <LibTraffic/VersionShares.h>
#include <LibTraffic/VersionTally.h>

#include <catch2/catch.hpp>

using namespace laburnum;

using std::chrono::milliseconds;
using std::chrono::seconds;
using Use = VersionShares::Choice::Use;

namespace {

ServiceName const Service("engine");
TimePoint const Start{seconds(1000)};

RolloutShares shares(std::uint32_t PartsPerMillion, std::uint64_t Fence = 1) {
  return {InstanceId("i1"), 1, Fence, {{Service, "v2", PartsPerMillion}}};
}

int targeted(VersionShares &Shares, int Requests, TimePoint Now) {
  int Count = 0;
  for (int Number = 0; Number < Requests; ++Number)
    Count += Shares.choose(Service, Now)->Use_ == Use::Target;
  return Count;
}

} // namespace

TEST_CASE("An instance keeps to the share that it was told") {
  VersionShares Shares;
  CHECK_FALSE(Shares.choose(Service, Start));
  Shares.setTargets({{Service, "v2"}});
  CHECK(targeted(Shares, 100, Start) == 0);
  Shares.onShares(shares(40000), Start);
  CHECK(targeted(Shares, 1000, Start) == 40);
  Shares.onShares(shares(1000000), Start);
  CHECK(targeted(Shares, 100, Start) == 100);
}

TEST_CASE("All instances together send no more than the share, however few "
          "requests each has") {
  constexpr int Instances = 80;
  constexpr int Requests = 20;
  int Count = 0;
  for (int Instance = 0; Instance < Instances; ++Instance) {
    VersionShares Shares;
    Shares.setTargets({{Service, "v2"}});
    Shares.onShares(shares(40000), Start);
    Count += targeted(Shares, Requests, Start);
  }
  CHECK(Count <= Instances * Requests * 0.04);
}

TEST_CASE("Without news of the share no request goes to the version") {
  VersionShares Shares;
  Shares.setTargets({{Service, "v2"}});
  Shares.onShares(shares(500000), Start);
  CHECK(targeted(Shares, 10, Start + seconds(1)) == 5);
  CHECK(targeted(Shares, 10, Start + seconds(3)) == 0);
  Shares.onShares(shares(500000), Start + seconds(4));
  CHECK(targeted(Shares, 10, Start + seconds(4)) == 5);
}

TEST_CASE("A holder that has lost the lease raises no share") {
  VersionShares Shares;
  Shares.setTargets({{Service, "v2"}});
  Shares.onShares(shares(0, 7), Start);
  Shares.onShares(shares(1000000, 6), Start);
  CHECK(targeted(Shares, 10, Start) == 0);
}

TEST_CASE("Another target begins without a share") {
  VersionShares Shares;
  Shares.setTargets({{Service, "v2"}});
  Shares.onShares(shares(1000000), Start);
  Shares.setTargets({{Service, "v3"}});
  Shares.onShares(shares(1000000), Start);
  CHECK(targeted(Shares, 10, Start) == 0);
  CHECK(Shares.choose(Service, Start)->Target_ == "v3");
}

TEST_CASE("Answers are counted as failed, slow or good by version and route") {
  VersionTally Tally;
  VersionTally::Key const Old{Service, "v1", "/r/"};
  VersionTally::Key const New{Service, "v2", "/r/"};
  auto const End = [&](VersionTally::Key const &Of, VersionTally::Result Ended,
                       milliseconds Took) {
    Tally.onSent(Of);
    Tally.onEnded(Of, Ended, Took);
  };
  using Result = VersionTally::Result;
  for (int Number = 0; Number < 20; ++Number)
    End(Old, Result::Answered, milliseconds(100));
  CHECK(Tally.report().Answers_.empty());
  Tally.setTargets({{Service, "v2"}});
  End(New, Result::Answered, milliseconds(120));
  End(New, Result::Answered, milliseconds(600));
  End(New, Result::Failed, milliseconds(1));
  End(New, Result::Neither, milliseconds(1));
  Tally.onSent(New);
  auto const Report = Tally.report();
  REQUIRE(Report.Answers_.size() == 2);
  CHECK(Report.Answers_[0] ==
        VersionAnswers{Service, "v1", "/r/", 20, 0, 0, 0});
  CHECK(Report.Answers_[1] == VersionAnswers{Service, "v2", "/r/", 3, 1, 1, 1});
}
