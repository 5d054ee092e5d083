#include <LibControl/EngineWorkExchange.h>

#include <catch2/catch.hpp>

using namespace laburnum;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint const Start{seconds(1000)};

EntryInstance instance(std::string const &Name, std::uint16_t Port) {
  EntryInstance Made;
  Made.Id_ = InstanceId(Name);
  Made.DataCentre_ = DataCentre("a-1");
  Made.Peers_ = {"127.0.0.1", Port};
  return Made;
}

EngineWorkReport report(std::uint64_t Unread) {
  return {{{ServerId("s@1"), Unread, 2 * Unread, 10}},
          {{ServiceName("engine"), 1000, 100, 1, 2, 3, 4, 5}}};
}

} // namespace

TEST_CASE("The reports of all instances are added up") {
  EngineWorkExchange Exchange(instance("i1", 1));
  Exchange.onReport(InstanceId("i1"), report(5000), Start);
  Exchange.onReport(InstanceId("i2"), report(7000), Start);
  Exchange.onReport(InstanceId("i2"), report(8000), Start);
  auto const Sum = Exchange.sum(Start);
  REQUIRE(Sum.Servers_.size() == 1);
  CHECK(Sum.Servers_.front() == ServerWork{ServerId("s@1"), 13000, 26000, 20});
  REQUIRE(Sum.Services_.size() == 1);
  CHECK(Sum.Services_.front().UnsharedPerSecond_ == 2000);
  CHECK(Sum.Services_.front().UrgentPerSecond_ == 200);
  CHECK(Exchange.sum(Start).Number_ > Sum.Number_);
}

TEST_CASE("The work of an instance that is not heard from any more is "
          "forgotten") {
  EngineWorkExchange Exchange(instance("i1", 1));
  Exchange.setPeriod(milliseconds(400));
  Exchange.onReport(InstanceId("i2"), report(7000), Start);
  CHECK(Exchange.sum(Start + milliseconds(800)).Servers_.size() == 1);
  CHECK(Exchange.sum(Start + seconds(2)).Servers_.empty());
}

TEST_CASE("An older sum of the same collector is not taken in") {
  EngineWorkExchange Exchange(instance("i1", 1));
  EngineWorkSum Sum;
  Sum.Origin_ = InstanceId("i2");
  Sum.Number_ = 5;
  CHECK(Exchange.onSum(Sum, Start));
  CHECK_FALSE(Exchange.onSum(Sum, Start));
  Sum.Number_ = 4;
  CHECK_FALSE(Exchange.onSum(Sum, Start));
  Sum.Number_ = 6;
  CHECK(Exchange.onSum(Sum, Start));
}
