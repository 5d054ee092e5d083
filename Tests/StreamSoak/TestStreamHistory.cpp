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

TEST_CASE("What a server spoiled itself is told apart from lost events") {
  ServerFaults Faults;
  Faults.Unreadable_["1"] = {3};
  Faults.LeftOut_["2"] = {3};
  Faults.ShownWhole_ = {"3"};
  auto const Judged = [&](std::string const &Run, std::uint64_t From,
                          std::uint64_t To) {
    StreamHistory History(4, Faults);
    History.add(tryOf(eventsOf(1, 2, "v1 0 " + Run), false));
    History.add(tryOf(eventsOf(From, To, "v1 0 " + Run), true));
    return History.violations();
  };
  CHECK(Judged("1", 4, 4).empty());
  CHECK(Judged("2", 4, 4) == Names{"gap left by the server"});
  CHECK(Judged("4", 4, 4) == Names{"gap over tries"});
  CHECK(Judged("3", 3, 3) == Names{"early end shown as whole by the server"});
  CHECK(Judged("4", 3, 3) == Names{"early end"});
  CHECK(Judged("1", 5, 5) == Names{"gap over tries"});
}

TEST_CASE("An answer is complete when its framing says so") {
  std::string const Event = "id: 1\ndata: v1 0 1\n\n";
  std::string const Head = "HTTP/1.1 200 OK\r\n";
  auto const Sized = Head + "Content-Length: 20\r\n\r\n" + Event;
  REQUIRE(Event.size() == 20);
  CHECK(decodeFramedAnswer(Sized, false).IsComplete_);
  CHECK(decodeFramedAnswer(Sized, false).Events_.size() == 1);
  CHECK_FALSE(
      decodeFramedAnswer(Sized.substr(0, Sized.size() - 1), true).IsComplete_);
  auto const Unsized = Head + "\r\n" + Event;
  CHECK_FALSE(decodeFramedAnswer(Unsized, false).IsComplete_);
  CHECK(decodeFramedAnswer(Unsized, true).IsComplete_);
  auto const Chunked =
      Head + "Transfer-Encoding: chunked\r\n\r\n14\r\n" + Event + "\r\n";
  CHECK_FALSE(decodeFramedAnswer(Chunked, true).IsComplete_);
  CHECK(decodeFramedAnswer(Chunked + "0\r\n\r\n", false).IsComplete_);
}

TEST_CASE("An event whose identifier can't be read is skipped") {
  auto const Answer = decodeFramedAnswer("HTTP/1.1 200 OK\r\n\r\n"
                                         "id: 1\ndata: v1 0 1\n\n"
                                         "id: x\ndata: v1 0 1\n\n"
                                         "id: 3x\ndata: v1 0 1\n\n",
                                         true);
  REQUIRE(Answer.Events_.size() == 1);
  CHECK(Answer.Events_.front().Id_ == 1);
}
