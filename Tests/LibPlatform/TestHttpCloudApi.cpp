#include <LibPlatform/StandinFixture.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

ListedEntryInstance const Entry{{InstanceId("entry-1"),
                                 DataCentre("wien-1"),
                                 {"127.0.0.1", 1},
                                 {"127.0.0.1", 2},
                                 {"127.0.0.1", 3}},
                                Liveness::Live};
StartOrder const Order{"order-1", ServiceName("dossier-writer"),
                       DataCentre("wien-1"), CapacityType::OnDemand};

} // namespace

TEST_CASE("A repeated start order starts one server only") {
  StandinFixture Platform;
  auto const First = Platform.Cloud_.start(Order, GenerousTimeout);
  REQUIRE_FALSE(isError(First));
  CHECK(Platform.Cloud_.start(Order, GenerousTimeout) == First);
  InstanceListing const Listing{{}, {{valueOf(First), Liveness::Live}}};
  CHECK(Platform.Instances_.fetch(GenerousTimeout) ==
        Result<InstanceListing>(Listing));
  REQUIRE_FALSE(isError(Platform.Cloud_.stop(valueOf(First), GenerousTimeout)));
  CHECK(Platform.Instances_.fetch(GenerousTimeout) ==
        Result<InstanceListing>({}));
}

TEST_CASE("A start without capacity is ResourceExhausted") {
  StandinFixture Platform;
  Platform.Standin_->faults().switchOn(StandinFault::RefuseStarts, 1, {});
  CHECK(failsWith(Platform.Cloud_.start(Order, GenerousTimeout),
                  ErrorKind::ResourceExhausted));
  CHECK_FALSE(isError(Platform.Cloud_.start(Order, GenerousTimeout)));
}

TEST_CASE("A reclaimed instance is noticed and listed as leaving") {
  StandinFixture Platform;
  Platform.Standin_->cloud().add(Entry, readClock());
  ReclaimNotice const Notice{"entry-1", DataCentre("wien-1"), GenerousTimeout};
  Platform.Standin_->cloud().reclaim(Notice, readClock());

  auto const Batch = Platform.Cloud_.notices(0, GenerousTimeout);
  REQUIRE_FALSE(isError(Batch));
  CHECK(valueOf(Batch).Next_ == 1);
  REQUIRE(valueOf(Batch).Notices_.size() == 1);
  CHECK(valueOf(Batch).Notices_[0].InstanceName_ == "entry-1");
  CHECK(valueOf(Batch).Notices_[0].Remaining_ <= GenerousTimeout);
  CHECK(Platform.Cloud_.notices(1, Duration::zero()) ==
        Result<NoticeBatch>(NoticeBatch{1, {}}));

  auto Leaving = Entry;
  Leaving.Liveness_ = Liveness::Leaving;
  CHECK(Platform.Instances_.fetch(GenerousTimeout) ==
        Result<InstanceListing>(InstanceListing{{Leaving}, {}}));
}

TEST_CASE("The instance list lags by the configured time") {
  constexpr Duration Lag = std::chrono::seconds(3);
  constexpr Duration Second = std::chrono::seconds(1);
  StandinCloud Cloud(Lag);
  TimePoint const Start{};
  Cloud.add(Entry, Start);
  Cloud.reclaim({"entry-1", DataCentre("wien-1"), Second}, Start + Second);
  CHECK(Cloud.listing(Start + Lag - Second).EntryInstances_.empty());
  auto const First = Cloud.listing(Start + Lag);
  REQUIRE(First.EntryInstances_.size() == 1);
  CHECK(First.EntryInstances_[0].Liveness_ == Liveness::Live);
  auto const Later = Cloud.listing(Start + Lag + Second);
  REQUIRE(Later.EntryInstances_.size() == 1);
  CHECK(Later.EntryInstances_[0].Liveness_ == Liveness::Leaving);
  CHECK(Cloud.listing(Start + Lag + 2 * Second).EntryInstances_.empty());
}

TEST_CASE("Faults, reclaims and registrations are available over HTTP") {
  StandinFixture Platform;
  auto const Post = [&](std::string const &Path, std::string const &Body) {
    auto const Reply =
        Platform.Connection_.call({"POST", Path, Body}, GenerousTimeout);
    auto const *Answer = std::get_if<PlatformAnswer>(&Reply);
    return Answer ? Answer->Status_ : 0;
  };
  CHECK(Post("/instances",
             R"({"id":"entry-1","data_centre":"wien-1","state":"live",
                 "callers":"127.0.0.1:1","peers":"127.0.0.1:2",
                 "operators":"127.0.0.1:3"})") == 200);
  CHECK(Platform.Instances_.fetch(GenerousTimeout) ==
        Result<InstanceListing>(InstanceListing{{Entry}, {}}));
  CHECK(Post("/reclaims", R"({"instance":"runner","data_centre":"wien-1",
                              "remaining_ms":60000})") == 200);
  CHECK_FALSE(isError(Platform.Cloud_.notices(0, GenerousTimeout)));
  CHECK(Post("/faults", R"({"kind":"outage","on":true})") == 200);
  CHECK(failsWith(Platform.Instances_.fetch(GenerousTimeout),
                  ErrorKind::Unavailable));
  CHECK(Post("/faults", R"({"kind":"outage","on":false})") == 200);
  CHECK_FALSE(isError(Platform.Instances_.fetch(GenerousTimeout)));
  CHECK(Post("/faults", R"({"kind":"outtage"})") == 400);
  CHECK(Post("/instances", "{") == 400);
}
