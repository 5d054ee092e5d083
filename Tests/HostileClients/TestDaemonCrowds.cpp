#include "Crowd.h"
#include "ProcessUsage.h"
#include "Readers.h"
#include "SizedAnswers.h"

#include <EntryProcess/StandinThread.h>
#include <Processes/LocalDeployment.h>

#include <catch2/catch.hpp>

#include <memory>
#include <stdexcept>
#include <string>

using namespace laburnum;
using namespace laburnum::hostile_clients;

namespace {

constexpr std::size_t DaemonMemory = std::size_t{160} << 20;
constexpr std::size_t MaxBody = std::size_t{1} << 20;
/// Callers that each have a thread of the daemon.
constexpr std::size_t Callers = 200;
/// Connections that exceed the daemon's threads.
constexpr std::size_t Threads = 16;
constexpr std::size_t Connections = 450;
/// The largest plain answer that is passed on.
constexpr std::size_t LargestAnswer = std::size_t{16} << 20;
/// Of the daemon with so many threads, some of them waiting for servers.
constexpr std::size_t Descriptors = 200;

/// A daemon between stand-ins, in whose settings timeouts are longer than any
/// of these tests.
class SmallDaemon {
public:
  explicit SmallDaemon(std::string const &Settings)
      : Deployment_(1, "header_timeout_ms = 120000\nmax_body_bytes = " +
                           std::to_string(MaxBody) + '\n' + Settings) {}

  std::string postHead() const {
    return "POST /services/entry-desk/status HTTP/1.1\r\n"
           "Host: desk.example\r\nAuthorization: " +
           Deployment_.headers().find("Authorization")->second + "\r\n";
  }
  Endpoint callers() { return {"127.0.0.1", daemon().Callers_}; }

  /// Sends a request with so many short fields and the largest body, and
  /// returns the status of its answer.
  int sendLargest(int Fields) {
    auto Head = Deployment_.headers();
    for (int Number = 0; Number < Fields; ++Number)
      Head.emplace("a", "b");
    return processes::call(daemon().Callers_, "POST",
                           "/services/entry-desk/status",
                           std::string(MaxBody, 'x'), Head)
        .Status_;
  }

  /// Checks what has to hold whatever callers have sent, once the daemon has
  /// read everything.
  void check() {
    CHECK(processes::await([this] { return leftInKernel(callers()) == 0; }));
    CHECK(Deployment_.status(0).Status_ == 200);
    CHECK_FALSE(daemon().Process_->hasEnded());
    CHECK(peakMemory(daemon().Process_->id()) <= DaemonMemory);
  }
  std::size_t descriptors() { return openDescriptors(daemon().Process_->id()); }

protected:
  processes::LocalDeployment Deployment_;

private:
  processes::DaemonProcess &daemon() { return Deployment_.instance(0); }
};

/// A daemon with a server whose answers are as long as the path says.
class AnsweringDaemon : public SmallDaemon {
public:
  AnsweringDaemon() : SmallDaemon("") {
    Thread_.on([this] {
      Listener_ = std::get<0>(
          HttpListener::create(Thread_.context(), {"127.0.0.1", 0}, Server_));
    });
    Deployment_.applyService(0, "sized", Listener_->localEndpoint(), Capacity);
    if (!processes::await([this] { return read(1).size() == 1; }))
      throw std::runtime_error("the service of sized answers is not served");
  }
  ~AnsweringDaemon() {
    Thread_.on([this] { Listener_->stopAccepting(); });
    Thread_.stop();
  }

  std::string request(std::size_t AnswerBytes) const {
    return "GET " + path(AnswerBytes) +
           " HTTP/1.1\r\nHost: desk.example\r\nAuthorization: " +
           Deployment_.headers().find("Authorization")->second + "\r\n\r\n";
  }
  /// Returns the body of the answer.
  std::string read(std::size_t AnswerBytes) {
    return processes::call(callers().Port_, "GET", path(AnswerBytes), "",
                           Deployment_.headers())
        .Body_;
  }

  /// Lets callers ask for one answer each without reading it.
  void ask(std::size_t Askers, std::size_t AnswerBytes) {
    Readers Readers(callers(), Askers);
    Readers.ask([&](std::size_t) { return request(AnswerBytes); });
    check();
  }

private:
  static constexpr std::uint32_t Capacity = 1000;

  static std::string path(std::size_t AnswerBytes) {
    return "/services/sized/read/" + std::to_string(AnswerBytes);
  }

  entry_process::StandinThread Thread_;
  SizedAnswers Server_;
  std::shared_ptr<HttpListener> Listener_;
};

/// More connections than the daemon has threads, which all send the form.
void holdConnections(std::string const &Sent) {
  SmallDaemon Daemon("threads = " + std::to_string(Threads) + '\n');
  Crowd Crowd(Daemon.callers(), Connections, {Sent, "", 0, ""});
  Crowd.send();
  Daemon.check();
  CHECK(Daemon.descriptors() <= Descriptors);
}

std::string const Get = "GET /services/entry-desk/status HTTP/1.1\r\n";

} // namespace

TEST_CASE("Callers of the daemon that hold idle connections leave threads for "
          "others") {
  holdConnections("");
}

TEST_CASE("Callers of the daemon that stop in their heads leave threads for "
          "others") {
  holdConnections(Get + "Host: desk.example\r\n");
}

TEST_CASE("Callers of the daemon that stop in small bodies leave threads for "
          "others") {
  holdConnections("POST /services/entry-desk/status HTTP/1.1\r\n"
                  "Host: desk.example\r\nContent-Length: 100\r\n\r\nbody");
}

TEST_CASE("Callers of the daemon that send very small chunks leave room for "
          "others") {
  constexpr std::size_t Senders = 96;
  SmallDaemon Daemon("");
  Crowd Crowd(Daemon.callers(), Senders,
              chunkedBody(Daemon.postHead(), 1, MaxBody));
  Crowd.send();
  Daemon.check();
}

TEST_CASE("Callers of the daemon that send a chunk's size without an end leave "
          "room for others") {
  constexpr std::size_t PieceBytes = 65536;
  SmallDaemon Daemon("");
  Crowd Crowd(Daemon.callers(), Callers,
              {Daemon.postHead() + "Transfer-Encoding: chunked\r\n\r\n5;",
               std::string(PieceBytes, 'x'), 2 * MaxBody / PieceBytes, ""});
  Crowd.send();
  Daemon.check();
}

TEST_CASE("Callers of the daemon that stop in heads of many short fields leave "
          "room for others") {
  constexpr std::size_t HeadBytes = 65000;
  SmallDaemon Daemon("");
  auto Head = Get;
  while (Head.size() < HeadBytes)
    Head += "a:b\r\n";
  Crowd Crowd(Daemon.callers(), Callers, {Head, "", 0, ""});
  Crowd.send();
  Daemon.check();
}

TEST_CASE("A single request with a head of many short fields and the largest "
          "body is served in calm by the daemon") {
  constexpr int Fields = 10000;
  SmallDaemon Daemon("body_memory_bytes = 1\n");
  CHECK(Daemon.sendLargest(Fields) == 200);
  Daemon.check();
}

TEST_CASE("Callers of the daemon that do not read large answers leave room for "
          "others") {
  AnsweringDaemon().ask(Callers, std::size_t{1} << 20);
}

TEST_CASE("Callers of the daemon that do not read the largest answers leave "
          "room for others") {
  AnsweringDaemon().ask(24, LargestAnswer);
}

TEST_CASE("A single answer of the largest size is served in calm by the "
          "daemon") {
  AnsweringDaemon Daemon;
  CHECK(Daemon.read(LargestAnswer).size() == LargestAnswer);
  Daemon.check();
}
