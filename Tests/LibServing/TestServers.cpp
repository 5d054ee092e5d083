#include <LibServing/LeastLoadedChooser.h>
#include <LibServing/RetryBudget.h>

#include <LibModel/JsonCodec.h>

#include <LibServing/FlowFixture.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::test;

namespace {

BackendServer server(std::string const &Name, std::uint32_t Capacity = 2) {
  BackendServer Made;
  Made.Id_ = ServerId(Name);
  Made.Service_ = ServiceName("service");
  Made.DataCentre_ = DataCentre("east");
  Made.Endpoint_ = {"127.0.0.1", 1};
  Made.Capacity_ = Capacity;
  return Made;
}

std::shared_ptr<Configuration const>
configuration(std::vector<std::string> const &Servers, double Budget = 0.1) {
  Service Owner;
  Owner.Name_ = ServiceName("service");
  Owner.RetryBudget_ = Budget;
  std::vector<ConfigurationObject> Objects{
      {{ObjectKind::Service, "service"}, 1, false, encodeJson(Owner)}};
  for (auto const &Name : Servers)
    Objects.push_back(
        {{ObjectKind::Server, Name}, 1, false, encodeJson(server(Name))});
  auto Made = Configuration::create(Objects);
  REQUIRE(Made->serversOf(Owner.Name_).size() == Servers.size());
  return Made;
}

RouteQuery query(std::uint64_t Fingerprint = 1) {
  RouteQuery Query;
  Query.Service_ = ServiceName("service");
  Query.Fingerprint_ = Fingerprint;
  return Query;
}

AttemptEvidence const Answered{AttemptProgress::AnswerWhole,
                               AttemptEnd::Answered, 200, ""};
AttemptEvidence const NotConnected{AttemptProgress::NotConnected,
                                   AttemptEnd::ConnectionFailed, 0, ""};

std::string chosen(LeastLoadedChooser &Chooser, RouteQuery const &Query,
                   Duration SinceStart = Duration::zero()) {
  auto const Choice = Chooser.choose(Query, at(SinceStart));
  if (isError(Choice))
    return toString(errorOf(Choice).Kind_);
  return valueOf(Choice).Id_.text();
}

} // namespace

TEST_CASE("Servers that are leaving, excluded or full are not chosen") {
  LeastLoadedChooser Chooser(1);
  CHECK(chosen(Chooser, query()) == "not_found");
  Chooser.setSnapshot(configuration({"a", "b", "c"}), {ServerId("a")});
  auto Query = query();
  Query.Excluded_ = {ServerId("b")};
  CHECK(chosen(Chooser, Query) == "c");
  CHECK(chosen(Chooser, Query) == "c");
  CHECK(chosen(Chooser, Query) == "resource_exhausted");
  Query.Excluded_.insert(ServerId("c"));
  CHECK(chosen(Chooser, Query) == "unavailable");
  Chooser.release(ServerId("c"), Query, Answered, at(seconds(0)));
  CHECK(Chooser.running(ServerId("c")) == 1);
}

TEST_CASE("The less loaded of two servers is chosen") {
  LeastLoadedChooser Chooser(1);
  Chooser.setSnapshot(configuration({"a", "b"}), {});
  Chooser.setLoad(ServerId("a"), {1, 1});
  for (int Round = 0; Round < 10; ++Round) {
    CHECK(chosen(Chooser, query()) == "b");
    Chooser.release(ServerId("b"), query(), Answered, at(seconds(0)));
  }
}

TEST_CASE(
    "A server that refuses connections is backed off with a doubling delay") {
  LeastLoadedChooser Chooser(1);
  Chooser.setSnapshot(configuration({"a"}), {});
  REQUIRE(chosen(Chooser, query()) == "a");
  Chooser.release(ServerId("a"), query(), NotConnected, at(seconds(0)));
  CHECK(chosen(Chooser, query(), milliseconds(99)) == "unavailable");
  CHECK(chosen(Chooser, query(), milliseconds(100)) == "a");
  Chooser.release(ServerId("a"), query(), NotConnected, at(milliseconds(100)));
  CHECK(chosen(Chooser, query(), milliseconds(299)) == "unavailable");
  CHECK(chosen(Chooser, query(), milliseconds(300)) == "a");
}

TEST_CASE("Retries are in proportion to requests") {
  RetryBudget Budget;
  ServiceName const Name("service");
  Budget.setSnapshot(configuration({}, 0.25));
  while (Budget.tryTake(Name, at(seconds(0)))) {
  }
  int Taken = 0;
  for (int Request = 0; Request < 40; ++Request) {
    Budget.countRequest(Name, at(seconds(0)));
    Taken += Budget.tryTake(Name, at(seconds(0))) ? 1 : 0;
  }
  CHECK(Taken == 10);
  CHECK_FALSE(Budget.tryTake(Name, at(milliseconds(900))));
  CHECK(Budget.tryTake(Name, at(milliseconds(1900))));
  CHECK_FALSE(Budget.tryTake(ServiceName("other"), at(seconds(5))));
}
