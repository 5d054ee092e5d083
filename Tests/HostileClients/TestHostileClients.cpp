#include "Crowd.h"
#include "ProcessUsage.h"
#include "SmallMachine.h"

#include <Processes/LocalDeployment.h>

#include <catch2/catch.hpp>

#include <string>

using namespace laburnum;
using namespace laburnum::hostile_clients;

namespace {

/// The largest body that the configuration allows.
constexpr std::size_t MaxBody = SmallMachine::MaxBody;
/// Their bodies exceed the machine's memory.
constexpr std::size_t Clients = 96;
/// Connections that exceed the machine's descriptors.
constexpr std::size_t Connections = 450;

std::string postHead() {
  return "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: h\r\n"
         "X-Deadline-Ms: 2000\r\nX-Key: k1\r\n";
}

void send(std::size_t Number, BodyForm const &Form) {
  SmallMachine Machine;
  Crowd Crowd(Machine.traffic(), Number, Form);
  Crowd.send();
  Machine.check();
}

} // namespace

TEST_CASE("Clients that stop just before the end of their announced bodies "
          "leave room for others") {
  send(Clients, announcedBody(postHead(), MaxBody, 10));
}

TEST_CASE("Clients that stop before the end of bodies in large chunks leave "
          "room for others") {
  constexpr std::size_t ChunkBytes = 65000;
  send(Clients, chunkedBody(postHead(), ChunkBytes, MaxBody / ChunkBytes));
}

TEST_CASE("Clients that stop before the end of bodies in very small chunks "
          "leave room for others") {
  send(Clients, chunkedBody(postHead(), 1, MaxBody));
}

TEST_CASE("Clients that announce bodies far over the limit leave room for "
          "others") {
  send(Clients, announcedBody(postHead(), 16 * MaxBody, 10));
}

TEST_CASE("Clients that just send bodies far over the limit leave room for "
          "others") {
  constexpr std::size_t ChunkBytes = 65000;
  send(Clients, chunkedBody(postHead(), ChunkBytes, 16 * MaxBody / ChunkBytes));
}

TEST_CASE("Clients that stop in their heads leave room for others") {
  // Many short fields take more memory than their bytes.
  std::string Fields;
  for (int Number = 0; Number < 2500; ++Number)
    Fields += "a:b\r\n";
  send(Connections - 100, {postHead() + Fields, "", 0, ""});
}

TEST_CASE("Clients that hold many connections with begun bodies leave "
          "descriptors for others") {
  send(Connections, announcedBody(postHead(), MaxBody, MaxBody - 100));
}

TEST_CASE("Clients that hold many idle connections leave descriptors for "
          "others") {
  send(Connections, {"", "", 0, ""});
}

TEST_CASE("A single body of the largest size is served in calm") {
  SmallMachine Machine;
  std::string const Body(MaxBody, 'x');
  auto const Served = Machine.instance().sendBody("/order/1", Body);
  CHECK(Served.Status_ == 200);
  Machine.check();
}

TEST_CASE(
    "Callers of the daemon that stop before the end of their bodies leave "
    "room for others") {
  constexpr std::size_t Callers = 200;
  constexpr std::size_t DaemonMemory = std::size_t{160} << 20;
  processes::LocalDeployment Deployment(
      1, "max_body_bytes = " + std::to_string(MaxBody) +
             "\nheader_timeout_ms = 20000\n");
  auto const &Daemon = Deployment.instance(0);
  auto const Head = "POST /services/entry-desk/status HTTP/1.1\r\n"
                    "Host: desk.example\r\nAuthorization: " +
                    Deployment.headers().find("Authorization")->second + "\r\n";
  constexpr std::size_t ChunkBytes = 65000;
  auto const Form =
      GENERATE_REF(announcedBody(Head, MaxBody, 10),
                   chunkedBody(Head, ChunkBytes, MaxBody / ChunkBytes),
                   chunkedBody(Head, ChunkBytes, 8 * MaxBody / ChunkBytes));
  Crowd Crowd({"127.0.0.1", Daemon.Callers_}, Callers, Form);
  Crowd.send();
  auto const Process = Daemon.Process_->id();
  Deployment.status(0);
  CHECK_FALSE(Daemon.Process_->hasEnded());
  CHECK(peakMemory(Process) <= DaemonMemory);
  CHECK(Deployment.status(0).Status_ == 200);
}
