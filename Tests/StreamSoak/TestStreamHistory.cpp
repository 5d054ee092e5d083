#include "StreamHistory.h"

#include <catch2/catch.hpp>

using namespace laburnum::stream_soak;

namespace {

using Names = std::set<std::string>;

StreamTry tryOf(std::vector<StreamEvent> Events, bool IsComplete) {
  StreamTry Try;
  Try.AttemptId_ = std::string(1, 'a');
  Try.Answer_ = {200, std::move(Events), IsComplete};
  return Try;
}

std::vector<StreamEvent> eventsOf(std::uint64_t From, std::uint64_t To,
                                  std::string const &Data) {
  std::vector<StreamEvent> Events;
  for (auto Id = From; Id <= To; ++Id)
    Events.push_back({Id, Data});
  return Events;
}

Names violationsOf(std::vector<StreamEvent> First,
                   std::vector<StreamEvent> Second) {
  StreamHistory History;
  History.add(tryOf(std::move(First), false));
  History.add(tryOf(std::move(Second), true));
  return History.violations();
}

} // namespace

TEST_CASE("A stream that goes on after its last event breaks nothing") {
  CHECK(
      violationsOf(eventsOf(1, 2, "v1 0 1"), eventsOf(3, 6, "v1 2 2")).empty());
  CHECK(violationsOf({}, eventsOf(1, 6, "v1 0 1")).empty());
}

TEST_CASE("What breaks the order of a stream is found") {
  auto const Begun = eventsOf(1, 2, "v1 0 1");
  CHECK(violationsOf(Begun, eventsOf(4, 6, "v1 3 2")) ==
        Names{"gap over tries"});
  CHECK(violationsOf(Begun, eventsOf(2, 6, "v1 1 2")) ==
        Names{"repeat over tries"});
  CHECK(violationsOf(Begun, eventsOf(3, 6, "v2 2 2")) ==
        Names{"two versions over tries"});
  CHECK(violationsOf(Begun, eventsOf(3, 6, "w1 2 2")) ==
        Names{"two services over tries"});
  CHECK(violationsOf(Begun, eventsOf(3, 6, "v1 0 2")) ==
        Names{"joined runs over tries"});
  CHECK(violationsOf(Begun, eventsOf(3, 5, "v1 2 2")) == Names{"early end"});
  CHECK(violationsOf({}, {}) == Names{"early end"});
  auto Joined = eventsOf(3, 4, "v1 2 2");
  Joined.push_back({5, "v2 4 3"});
  Joined.push_back({6, "v2 4 3"});
  CHECK(violationsOf(Begun, Joined) == Names{"two versions in an answer"});
}

TEST_CASE("An answer is decoded as far as it is there") {
  std::string const First = "HTTP/1.1 200 OK\r\n\r\n"
                            "b\r\nid: 1\ndata:\r\n6\r\n v1\n\nid\r\n";
  auto const Part = decodeAnswer(First);
  CHECK(Part.Status_ == 200);
  REQUIRE(Part.Events_.size() == 1);
  CHECK(Part.Events_.front().Id_ == 1);
  CHECK(Part.Events_.front().Data_ == "v1");
  CHECK_FALSE(Part.IsComplete_);
  CHECK(decodeAnswer(First + "0\r\n\r\n").IsComplete_);
  CHECK_FALSE(decodeAnswer(First + "0\r\n").IsComplete_);
  CHECK(decodeAnswer("HTTP/1.1 503 -\r\n\r\n").Status_ == 503);
}
