#include <LibControl/RateLimitDissemination.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace laburnum;

namespace {

Member member(std::size_t Number, std::size_t Incarnation,
              Liveness State = Liveness::Live) {
  Member Made;
  Made.Instance_.Id_ = InstanceId("e" + std::to_string(Number) + '.' +
                                  std::to_string(Incarnation));
  Made.Instance_.Peers_ = {"10.0.0.1",
                           static_cast<std::uint16_t>(1000 + Number)};
  Made.Liveness_ = State;
  return Made;
}

std::vector<Member> members(std::size_t Count) {
  std::vector<Member> Made;
  for (std::size_t Each = 0; Each < Count; ++Each)
    Made.push_back(member(Each, 0));
  return Made;
}

} // namespace

TEST_CASE("Two instances send the rate limits to each instance that starts") {
  auto const Count = GENERATE(std::size_t(3), 8, 77);
  auto Before = members(Count);
  Before.pop_back();
  auto After = members(Count);
  // A restart keeps the endpoint; the former incarnation may still be listed.
  After.front() = member(0, 1, Liveness::Live);
  After.push_back(member(0, 0, Liveness::Gone));
  std::map<Endpoint, std::size_t> Sent;
  for (std::size_t Each = 1; Each + 1 < Count; ++Each) {
    RateLimitDissemination One(Before[Each].Instance_, Each);
    One.setMembers(Before);
    for (auto const &Receiver : One.setMembers(After))
      ++Sent[Receiver];
    CHECK(One.setMembers(After).empty());
  }
  for (auto const &New : {After[0], After[Count - 1]}) {
    auto const Introductions = Sent[New.Instance_.Peers_];
    // The other new instance may be one of the two; it knows no limits.
    CHECK(Introductions >= 1);
    CHECK(Introductions <= 2);
  }
  CHECK(Sent.size() == 2);
}

TEST_CASE("Rate limits are sent to live instances other than this one") {
  auto All = members(8);
  RateLimitDissemination One(All[3].Instance_, 1);
  CHECK(One.others().empty());
  CHECK(One.randomOther().empty());
  All[5].Liveness_ = Liveness::Gone;
  One.setMembers(All);
  auto const Others = One.others();
  CHECK(Others.size() == 6);
  for (auto const Number : {3U, 5U})
    CHECK(std::find(Others.begin(), Others.end(),
                    All[Number].Instance_.Peers_) == Others.end());
  auto const Receiver = One.randomOther();
  REQUIRE(Receiver.size() == 1);
  CHECK(std::find(Others.begin(), Others.end(), Receiver.front()) !=
        Others.end());
}

TEST_CASE("An instance that leaves shares no rate limits unless it is alone") {
  auto const All = members(3);
  auto const &Self = All[0].Instance_;
  RateLimitDissemination One(Self, 1);
  One.setMembers(All);
  CHECK(One.sharers(Liveness::Live).size() == 3);
  auto const Others = One.sharers(Liveness::Leaving);
  CHECK(Others.size() == 2);
  CHECK(std::find(Others.begin(), Others.end(), Self) == Others.end());
  RateLimitDissemination Alone(Self, 1);
  Alone.setMembers({All[0]});
  CHECK(Alone.sharers(Liveness::Leaving) == std::vector{Self});
}
