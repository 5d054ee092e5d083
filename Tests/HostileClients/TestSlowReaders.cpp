#include "Crowd.h"
#include "Readers.h"
#include "SizedAnswers.h"
#include "SmallMachine.h"

#include <Processes/ProcessGroup.h>

#include <catch2/catch.hpp>

#include <cstddef>
#include <memory>
#include <string>

using namespace laburnum;
using namespace laburnum::hostile_clients;

namespace {

/// No time that the machine's speed could use up.
constexpr int LongMilliseconds = 60000;
/// Requests wait half of it for a server.
constexpr int TargetMilliseconds = 10000;
/// Requests that the server takes at a time, which it also states.
constexpr std::size_t Slots = 256;
constexpr std::size_t LargeAnswer = std::size_t{1} << 20;
/// The largest answer that is relayed.
constexpr std::size_t LargestAnswer = std::size_t{4} << 20;
/// Too small for an answer to be worth giving up.
constexpr std::size_t SmallAnswer = 60000;
/// A stream that is not too far behind to be kept.
constexpr std::size_t Stream = 900000;

/// A small machine whose server sends answers of any size.
class AnsweringMachine : public SmallMachine {
public:
  explicit AnsweringMachine(std::size_t Descriptors = 400)
      : SmallMachine({Descriptors, Slots, LongMilliseconds, TargetMilliseconds},
                     std::make_unique<SizedAnswers>()) {}
};

std::string request(std::string const &Path, std::string const &Id) {
  return "GET " + Path +
         " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + Id +
         "\r\nX-Deadline-Ms: " + std::to_string(LongMilliseconds) +
         "\r\nX-Key: k1\r\n\r\n";
}

/// Lets each client ask for one answer and checks the machine.
void ask(std::size_t Clients, std::string const &Path,
         std::size_t Descriptors = 400) {
  AnsweringMachine Machine(Descriptors);
  auto const Before = Machine.settledRequests();
  Readers Readers(Machine.traffic(), Clients);
  Readers.ask([&](std::size_t Number) {
    return request(Path, "h" + std::to_string(Number));
  });
  // Streams go on after they have begun.
  REQUIRE(processes::await(
      [&] { return Machine.settledRequests() >= Before + Clients; }));
  Machine.check();
}

} // namespace

TEST_CASE("Clients that do not read large answers leave room for others") {
  ask(96, "/read/" + std::to_string(LargeAnswer));
}

TEST_CASE("Clients that do not read the largest answers leave room for "
          "others") {
  ask(24, "/read/" + std::to_string(LargestAnswer));
}

TEST_CASE("Clients that do not read small answers leave room for others") {
  constexpr std::size_t Clients = 1150;
  constexpr std::size_t Descriptors = 2600;
  ask(Clients, "/read/" + std::to_string(SmallAnswer), Descriptors);
}

TEST_CASE("Clients that do not read streams leave room for others") {
  ask(96, "/flow/" + std::to_string(Stream));
}

TEST_CASE("Clients that do not read streams of very small events leave room "
          "for others") {
  ask(96, "/flow/drops/" + std::to_string(Stream));
}

TEST_CASE("Clients that do not read leave room for others beside clients that "
          "stop in their bodies") {
  constexpr std::size_t Clients = 96;
  AnsweringMachine Machine;
  auto const Before = Machine.settledRequests();
  Readers Readers(Machine.traffic(), Clients);
  Readers.ask([&](std::size_t Number) {
    return request("/read/" + std::to_string(LargeAnswer),
                   "h" + std::to_string(Number));
  });
  REQUIRE(processes::await(
      [&] { return Machine.settledRequests() >= Before + Clients; }));
  Crowd Senders(Machine.traffic(), Clients,
                announcedBody("POST /order/1 HTTP/1.1\r\n"
                              "Host: desk.example\r\nX-Attempt-Id: s\r\n"
                              "X-Deadline-Ms: 2000\r\nX-Key: k1\r\n",
                              SmallMachine::MaxBody, 10));
  Senders.send();
  Machine.check();
}

TEST_CASE("Clients that ask again and again without reading leave room for "
          "others") {
  constexpr std::size_t Clients = 8;
  constexpr std::size_t Rounds = 64;
  constexpr std::size_t Answer = std::size_t{256} << 10;
  AnsweringMachine Machine;
  Readers Readers(Machine.traffic(), Clients);
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    auto const Before = Machine.settledRequests();
    // Their connections close once their answers are read.
    auto const GivenUp = Machine.givenUpRequests();
    Readers.ask([&](std::size_t Number) {
      return request("/read/" + std::to_string(Answer),
                     "h" + std::to_string(Round) + '-' +
                         std::to_string(Number));
    });
    // An answer ends once it is passed to the connection.
    REQUIRE(processes::await([&] {
      return Machine.settledRequests() + GivenUp >= Before + Readers.open();
    }));
  }
  Machine.check();
}

TEST_CASE("A single answer of the largest size is served in calm") {
  AnsweringMachine Machine;
  auto const Served =
      Machine.instance().send("GET", "/read/" + std::to_string(LargestAnswer));
  CHECK(Served.Status_ == 200);
  CHECK(Served.Body_.size() == LargestAnswer);
  Machine.check();
}

TEST_CASE("A single stream that is read is served in calm") {
  AnsweringMachine Machine;
  auto const Served =
      Machine.instance().send("GET", "/flow/" + std::to_string(4 * Stream));
  CHECK(Served.Status_ == 200);
  CHECK(Served.Body_.size() >= 4 * Stream);
  Machine.check();
}
