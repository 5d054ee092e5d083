#include "SentStreams.h"
#include "StreamServers.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>
#include <vector>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

/// The program of the instances; another build can be named to try it.
std::string program() {
  auto const *Given = std::getenv("LABURNUM_ENTRY_PROGRAM");
  return Given ? Given : "laburnum-entry";
}

constexpr std::size_t Servers = 3;
std::vector<std::uint64_t> const Whole = {1, 2, 3, 4, 5, 6};

} // namespace

// Guards against cutting whole streams without a length, and against taking
// broken ones for whole.
TEST_CASE("A stream without a marked end is complete if and only if its server "
          "has closed the connection in order, where other answers mark "
          "theirs") {
  constexpr std::size_t FirstStreams = 6;
  constexpr std::size_t AtOnce = 12;
  constexpr std::size_t Rounds = 6;
  // Only another server tells that one has closed its answer too early in
  // order, and only streams that may be resumed can ask it.
  auto const [Route, End] =
      GENERATE(table<std::string, std::string>({{"/stream/", "whole"},
                                                {"/stream/", "closes"},
                                                {"/stream/", "resets"},
                                                {"/once/", "whole"},
                                                {"/once/", "resets"}}));
  CAPTURE(Route, End);
  StreamServers Chosen(2, program());
  StreamServers::Settings Settings;
  Settings.Framing_ = "chunked";
  Chosen.add("s0", Settings);
  Chosen.add("s1", Settings);
  Settings.Others_ = {"--unframed=8", "--unframed-end=" + End};
  Chosen.add("s2", Settings);
  Chosen.startInstances();
  SentStreams Streams(Chosen, Route, Whole, Route == "/stream/" ? 3 : 0);
  for (std::size_t Each = 0; Each < FirstStreams; ++Each)
    Streams.send(1);
  for (std::size_t Round = 0; Round < Rounds; ++Round)
    Streams.send(AtOnce);
  auto const Ended = countLines(Chosen, Servers, "early end");
  INFO(Streams.describe() << ", ended early by the server " << Ended
                          << Streams.log());
  REQUIRE(countLines(Chosen, Servers, "no length") > 0);
  REQUIRE((Ended > 0) == (End != "whole"));
  CHECK(Streams.disordered() == 0);
  CHECK(Streams.earlyEnds() == 0);
  CHECK(Streams.complete() == Streams.sent() - (Route == "/once/" ? Ended : 0));
}

TEST_CASE("Streams that may be resumed are not complete before their last "
          "event once the retry budget is spent",
          "[.]") {
  constexpr std::size_t AtOnce = 20;
  constexpr std::size_t Rounds = 15;
  StreamServers Chosen(2, program());
  StreamServers::Settings Settings;
  Settings.Others_ = {"--cuts=5"};
  for (std::size_t Number = 0; Number < Servers; ++Number)
    Chosen.add("s" + std::to_string(Number), Settings);
  Chosen.startInstances();
  SentStreams Streams(Chosen, "/stream/", Whole, 1);
  for (std::size_t Round = 0; Round < Rounds; ++Round)
    Streams.send(AtOnce);
  auto const Ended = countLines(Chosen, Servers, "early end");
  INFO(Streams.describe() << ", ended early by servers " << Ended
                          << Streams.log());
  REQUIRE(Ended > 0);
  CHECK(Streams.disordered() == 0);
  CHECK(Streams.earlyEnds() == 0);
  CHECK(Streams.complete() > 0);
}
