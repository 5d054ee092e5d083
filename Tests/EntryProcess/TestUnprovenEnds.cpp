#include "StreamServers.h"
#include "VersionedFleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <deque>
#include <string>
#include <vector>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

using Settings = StreamServers::Settings;

/// The program of the instance; another build can be named to try it.
std::string program() {
  auto const *Given = std::getenv("LABURNUM_ENTRY_PROGRAM");
  return Given ? Given : "laburnum-entry";
}

constexpr std::size_t Servers = 3;
constexpr std::size_t StreamsAtOnce = 12;
/// Before the last event of a stream.
constexpr std::chrono::milliseconds ShortDeadline{170};

/// An instance before servers of one kind.
struct Deployment {
  explicit Deployment(Settings const &Chosen) {
    for (std::size_t Number = 0; Number < Servers; ++Number)
      Servers_.add("s" + std::to_string(Number), Chosen);
    Servers_.startInstances();
  }

  void begin(std::string const &Route,
             std::chrono::milliseconds Deadline = std::chrono::seconds(8)) {
    for (std::size_t Each = 0; Each < StreamsAtOnce; ++Each)
      Streams_.emplace_back(Servers_.instance(0),
                            std::to_string(Streams_.size()), "", "", Route,
                            Deadline);
  }

  /// Reads the streams to their ends. Returns how many ended as complete, and
  /// checks that these had all their events.
  std::size_t countComplete() {
    std::size_t Complete = 0;
    std::size_t EarlyEnds = 0;
    for (auto &Stream : Streams_) {
      Stream.readToEnd();
      if (!Stream.isComplete())
        continue;
      ++Complete;
      EarlyEnds += Stream.events().size() < VersionedFleet::StreamLength;
    }
    CHECK(EarlyEnds == 0);
    return Complete;
  }

  StreamServers Servers_{1, program()};
  std::deque<StreamClient> Streams_;
};

} // namespace

TEST_CASE("A stream is not complete because a proxy has closed its connection "
          "in order") {
  Settings Chosen;
  Chosen.Framing_ = GENERATE("closes", "chunked");
  Chosen.StatesStart_ = GENERATE(true, false);
  Chosen.IsProxied_ = true;
  std::string const Route = GENERATE("/stream/", "/once/");
  CAPTURE(Chosen.Framing_, Chosen.StatesStart_, Route);
  Deployment Deployment(Chosen);
  Deployment.begin(Route);
  for (auto &Stream : Deployment.Streams_)
    Stream.readEvents(2);
  for (std::size_t Number = 0; Number < Servers; ++Number)
    Deployment.Servers_.proxy("s" + std::to_string(Number)).signal(SIGUSR1);
  Deployment.countComplete();
}

TEST_CASE("A stream is not complete because its server has stopped at the "
          "deadline") {
  Settings Chosen;
  Chosen.Framing_ = GENERATE("closes", "chunked");
  Chosen.IsProxied_ = GENERATE(true, false);
  std::string const Stop = GENERATE("closes", "finishes", "resets");
  // Events come every 50 ms.
  std::string const Early = GENERATE("0", "40");
  Chosen.Others_ = {"--deadline=" + Stop, "--early=" + Early};
  std::string const Route = GENERATE("/stream/", "/once/");
  CAPTURE(Chosen.Framing_, Chosen.IsProxied_, Stop, Early, Route);
  Deployment Deployment(Chosen);
  Deployment.begin(Route, ShortDeadline);
  CHECK(Deployment.countComplete() == 0);
}

TEST_CASE("A stream that its server has ended too early goes on elsewhere") {
  Settings Chosen;
  Chosen.Others_ = {"--cuts=2"};
  Chosen.IsProxied_ = GENERATE(true, false);
  CAPTURE(Chosen.IsProxied_);
  Deployment Deployment(Chosen);
  Deployment.begin("/stream/");
  CHECK(Deployment.countComplete() > 0);
}

TEST_CASE("Streams whose identifiers grow by more than one are complete") {
  constexpr std::size_t Step = 8;
  Settings Chosen;
  Chosen.Framing_ = GENERATE("closes", "chunked");
  Chosen.Others_ = {"--step=" + std::to_string(Step)};
  std::string const Route = GENERATE("/stream/", "/once/");
  CAPTURE(Chosen.Framing_, Route);
  Deployment Deployment(Chosen);
  Deployment.begin(Route);
  CHECK(Deployment.countComplete() == StreamsAtOnce);
}

TEST_CASE("Streams whose identifiers grow by more than one go on after their "
          "servers are killed") {
  constexpr std::size_t Step = 8;
  Settings Chosen;
  Chosen.Framing_ = GENERATE("closes", "chunked");
  Chosen.Others_ = {"--step=" + std::to_string(Step)};
  CAPTURE(Chosen.Framing_);
  Deployment Deployment(Chosen);
  Deployment.begin("/stream/");
  for (auto &Stream : Deployment.Streams_)
    Stream.readEvents(2);
  Deployment.Servers_.process("s0").signal(SIGKILL);
  CHECK(Deployment.countComplete() == StreamsAtOnce);
}
