#include "SentStreams.h"
#include "StreamServers.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>
#include <vector>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

/// The program of the instance; another build can be named to try it.
std::string program() {
  auto const *Given = std::getenv("LABURNUM_ENTRY_PROGRAM");
  return Given ? Given : "laburnum-entry";
}

constexpr std::size_t Servers = 3;
constexpr std::size_t AtOnce = 12;
/// Streams from which the instance learns how identifiers grow.
constexpr std::size_t FirstStreams = 3;

void start(StreamServers &Chosen, std::vector<std::string> const &Options) {
  StreamServers::Settings Settings;
  Settings.Framing_ = "chunked";
  Settings.Others_ = Options;
  for (std::size_t Number = 0; Number < Servers; ++Number)
    Chosen.add("s" + std::to_string(Number), Settings);
  Chosen.startInstances();
}

/// Sends the first streams one after another, then more at once.
void send(SentStreams &Streams) {
  for (std::size_t Each = 0; Each < FirstStreams; ++Each)
    Streams.send(1);
  Streams.send(AtOnce);
  Streams.send(AtOnce);
}

} // namespace

TEST_CASE("A stream from which a server leaves out an event goes on elsewhere "
          "after the event before") {
  std::uint64_t const Step = GENERATE(1U, 8U);
  std::string const Route = GENERATE("/stream/", "/once/");
  CAPTURE(Step, Route);
  StreamServers Chosen(1, program());
  start(Chosen, {"--step=" + std::to_string(Step), "--skips=4"});
  SentStreams Streams(Chosen, Route,
                      {Step, 2 * Step, 3 * Step, 4 * Step, 5 * Step, 6 * Step});
  send(Streams);
  auto const LeftOut = countLines(Chosen, Servers, "left out an event");
  INFO(Streams.describe() << ", left out " << LeftOut << Streams.log());
  REQUIRE(LeftOut > 0);
  CHECK(Streams.disordered() == 0);
  CHECK(Streams.earlyEnds() == 0);
  CHECK(Streams.complete() ==
        Streams.sent() - (Route == "/once/" ? LeftOut : 0));
}

TEST_CASE("Streams whose identifiers grow irregularly are complete") {
  std::string const Route = GENERATE("/stream/", "/once/");
  CAPTURE(Route);
  StreamServers Chosen(1, program());
  start(Chosen, {"--step=irregular"});
  SentStreams Streams(Chosen, Route, {1, 2, 5, 6, 9, 12});
  send(Streams);
  INFO(Streams.describe() << Streams.log());
  CHECK(Streams.disordered() == 0);
  CHECK(Streams.earlyEnds() == 0);
  CHECK(Streams.complete() >= Streams.sent() - FirstStreams);
}
