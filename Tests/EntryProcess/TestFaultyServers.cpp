#include "EntryFixture.h"
#include "ScriptedServer.h"
#include "StandinRecords.h"

#include <asio/read.hpp>
#include <asio/write.hpp>

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <thread>
#include <vector>

using namespace laburnum;
using namespace laburnum::entry_process;
using laburnum::processes::await;

namespace {

/// An instance before servers that answer with scripted bytes.
struct ScriptedFixture : EntryFixture {
  ScriptedFixture() {
    on([this] { Store_.remove("servers", "i-1"); });
  }
  ~ScriptedFixture() {
    on([this] { Servers_.clear(); });
  }

  ScriptedServer &add(std::string const &Name, ScriptedServer::Script Script) {
    return *on([&] {
      Servers_.push_back(std::make_unique<ScriptedServer>(Thread_.context(),
                                                          std::move(Script)));
      Store_.put(
          "servers", Name,
          serverJson(Servers_.back()->endpoint(), "ready", 1700000000000, 1));
      return Servers_.back().get();
    });
  }
  std::size_t requestsAt(ScriptedServer &Server) {
    return on([&] { return Server.requests(); });
  }

  std::vector<std::unique_ptr<ScriptedServer>> Servers_;
};

std::string streamHead(std::string const &AttemptId) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + AttemptId +
         "\r\nX-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n\r\n";
}

} // namespace

TEST_CASE_METHOD(
    ScriptedFixture,
    "Crashes inside an event count against the prompt part, though "
    "the answer has no length") {
  constexpr std::size_t Servers = 6;
  constexpr std::size_t MaxCrashes = 3;
  for (std::size_t Index = 0; Index < Servers; ++Index)
    add("i-" + std::to_string(10 + Index),
        [this, Index](ScriptedServer::Peer &Peer, std::string const &AttemptId,
                      std::size_t /*Number*/) {
          Peer.write(streamHead(AttemptId) + "id: 1\ndata: the firs");
          Peer.close();
          Servers_[Index]->stopListening();
        });
  Instance_->process().awaitLine("server_changed server=i-15");
  std::size_t Requests = 0;
  for (std::size_t Sent = 0; Sent < Servers; ++Sent)
    send("GET", "/stream/" + std::to_string(Sent), "k1",
         {{"X-Prompt-Prefix", "dead:90,0" + std::to_string(Sent) + ":80"}});
  for (auto const &Server : Servers_)
    Requests += requestsAt(*Server);
  CHECK(Requests <= MaxCrashes);
}

namespace {

std::string refusal(std::string const &AttemptId) {
  return "HTTP/1.1 503 Service Unavailable\r\n" +
         (AttemptId.empty() ? std::string()
                            : "X-Attempt-Id: " + AttemptId + "\r\n") +
         "X-Not-Executed: 1\r\nContent-Length: 0\r\n"
         "Keep-Alive: timeout=5\r\n\r\n";
}

std::string answer(std::string const &AttemptId) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + AttemptId +
         "\r\nX-Server-Stamp: stamp\r\nContent-Length: 5\r\n"
         "Keep-Alive: timeout=5\r\n\r\nwhole";
}

enum class Repeated { AtOnce, InOneWrite, BeforeTheNextAnswer };

} // namespace

TEST_CASE_METHOD(ScriptedFixture,
                 "A refusal that a server repeats is not taken for the answer "
                 "to the next request on the connection") {
  auto const When = GENERATE(Repeated::AtOnce, Repeated::InOneWrite,
                             Repeated::BeforeTheNextAnswer);
  bool const IsIdentified = GENERATE(true, false);
  bool const IsCopyIdentified = GENERATE(true, false);
  CAPTURE(static_cast<int>(When), IsIdentified, IsCopyIdentified);
  std::string First;
  std::shared_ptr<ScriptedServer::Peer> FirstPeer;
  auto &Server =
      add("i-10", [&](ScriptedServer::Peer &Peer, std::string const &AttemptId,
                      std::size_t Number) {
        auto const Copy = refusal(IsCopyIdentified ? First : "");
        if (Number > 1) {
          if (When == Repeated::BeforeTheNextAnswer && &Peer == FirstPeer.get())
            Peer.write(Copy);
          return Peer.write(answer(AttemptId));
        }
        First = AttemptId;
        FirstPeer = Peer.shared_from_this();
        auto const Original = refusal(IsIdentified ? AttemptId : "");
        if (When == Repeated::InOneWrite)
          return Peer.write(Original + refusal(IsCopyIdentified ? First : ""));
        Peer.write(Original);
        if (When == Repeated::AtOnce)
          Peer.write(refusal(IsCopyIdentified ? First : ""));
      });
  Instance_->process().awaitLine("server_changed server=i-10");
  REQUIRE(await([this, &Server] {
    return send("POST", "/order/1").Status_ == 503 && requestsAt(Server) == 1;
  }));
  auto const Second = send("POST", "/order/2");
  // It has run: "not run" would be untrue.
  CHECK(requestsAt(Server) == 2);
  CHECK((Second.Status_ == 200 || Second.Status_ == 502));
  if (IsCopyIdentified || When != Repeated::BeforeTheNextAnswer)
    CHECK(Second.Body_ == "whole");
}

namespace {

/// Sends a request on a raw connection and returns all bytes of the answer
/// until the connection ends.
std::string receiveAll(std::string const &Address, std::string const &Path) {
  asio::io_context Context;
  asio::ip::tcp::socket Socket(Context);
  Socket.connect({asio::ip::make_address(Address), EntryProcess::TrafficPort});
  asio::write(Socket,
              asio::buffer("GET " + Path +
                           " HTTP/1.1\r\nHost: desk.example\r\n"
                           "X-Attempt-Id: raw-1\r\nX-Deadline-Ms: 1500\r\n"
                           "X-Key: k1\r\nConnection: close\r\n\r\n"));
  std::string Received;
  asio::error_code End;
  asio::read(Socket, asio::dynamic_buffer(Received), End);
  return Received;
}

} // namespace

TEST_CASE_METHOD(ScriptedFixture, "A stream that broke off is not continued "
                                  "with an error of the next server") {
  std::string const Error = GENERATE(
      std::string("HTTP/1.1 500 Error\r\nX-Attempt-Id: raw-1\r\n"
                  "X-Server-Stamp: stamp\r\nContent-Length: 13\r\n\r\n"
                  "error text\n\n\n"),
      std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: raw-1\r\n"
                  "X-Server-Stamp: stamp\r\nContent-Type: application/json\r\n"
                  "Content-Length: 13\r\n\r\nerror text\n\n\n"),
      std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: raw-1\r\n"
                  "X-Server-Stamp: stamp\r\nContent-Type: application/json\r\n"
                  "Content-Length: 0\r\n\r\n"),
      std::string("HTTP/1.1 503 Busy\r\nX-Attempt-Id: raw-1\r\n"
                  "X-Not-Executed: 1\r\nContent-Length: 10\r\n\r\nerror text"),
      std::string("HTTP/1.1 500 Error\r\nX-Attempt-Id: raw-1\r\n\r\n"
                  "error text"),
      std::string("error text\n\n"));
  CAPTURE(Error);
  std::size_t Streams = 0;
  auto const Script = [&](ScriptedServer::Peer &Peer,
                          std::string const &AttemptId, std::size_t) {
    if (Streams++ == 0)
      Peer.write(streamHead(AttemptId) + "id: 1\ndata: one\n\nid: 2\ndata: tw");
    else
      Peer.write(Error);
    Peer.close();
  };
  // A stream goes on only at servers that identify themselves.
  for (auto *const Server : {&add("i-10", Script), &add("i-11", Script)})
    on([Server] { Server->setReport("{\"born\":1700000000000}"); });
  Instance_->process().awaitLine("server_changed server=i-11");
  auto const Received = receiveAll(Instance_->address(), "/stream/x");
  CHECK(Streams == 2);
  CHECK(Received.find("data: one") != std::string::npos);
  CHECK(Received.find("error text") == std::string::npos);
  CHECK(Received.find("HTTP/1.1", 1) == std::string::npos);
  CHECK_FALSE(Received.ends_with("0\r\n\r\n"));
}

TEST_CASE_METHOD(ScriptedFixture,
                 "An answer that ends inside its head is no answer") {
  std::string const Head = GENERATE(
      "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n",
      "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp",
      "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\n",
      "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\nContent-Length: 5\r\n\r",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n",
      "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\nContent-Length: "
      "5\r\n\r\nwh");
  CAPTURE(Head);
  add("i-10",
      [&](ScriptedServer::Peer &Peer, std::string const &, std::size_t) {
        Peer.write(Head);
        Peer.close();
      });
  Instance_->process().awaitLine("server_changed server=i-10");
  auto const Path = GENERATE("/order/x", "/stream/x");
  auto const Received = send("POST", Path);
  CHECK(Received.Status_ == 502);
  CHECK(Received.Body_.empty());
}

// Guards against a client that gets a server's broken status as an answer, or
// waits for it until the deadline.
TEST_CASE_METHOD(ScriptedFixture,
                 "An answer whose status HTTP does not have is no answer") {
  std::string const Status =
      GENERATE("000", "099", "101", "199", "600", "777", "999");
  auto const *const Ending = GENERATE("Content-Length: 5\r\n", "");
  CAPTURE(Status, Ending);
  // 199 without a length is an interim answer, and its final one may follow.
  if (Status == "199" && std::string(Ending).empty())
    return;
  add("i-10", [&](ScriptedServer::Peer &Peer, std::string const &AttemptId,
                  std::size_t) {
    Peer.write("HTTP/1.1 " + Status + " Odd\r\nX-Attempt-Id: " + AttemptId +
               "\r\nX-Server-Stamp: stamp\r\n" + Ending + "\r\nwhole");
  });
  Instance_->process().awaitLine("server_changed server=i-10");
  auto const *const Path = GENERATE("/order/x", "/read/x", "/stream/x");
  auto const SentAt = readClock();
  auto const Received = send("POST", Path);
  CHECK(Received.Status_ == 502);
  CHECK(Received.Body_.empty());
  // Well before the deadline.
  CHECK(readClock() - SentAt < std::chrono::seconds(1));
}

namespace {

/// The most memory that the process has used so far, in bytes.
std::size_t peakMemory(EntryProcess &Instance) {
  std::ifstream Status("/proc/" + std::to_string(Instance.process().id()) +
                       "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::strtoull(Line.c_str() + 6, nullptr, 10) * 1024;
  return 0;
}

/// Writes bytes until the other side closes, at most as many as no instance
/// could keep.
class EndlessWriter : public std::enable_shared_from_this<EndlessWriter> {
public:
  EndlessWriter(std::shared_ptr<ScriptedServer::Peer> Peer, std::string Bytes)
      : Peer_(std::move(Peer)), Bytes_(std::move(Bytes)) {}
  void writeNext() {
    constexpr std::size_t MostWrites = 1024;
    if (++Writes_ <= MostWrites)
      Peer_->writeLater(Bytes_,
                        [Self = shared_from_this()] { Self->writeNext(); });
  }

private:
  std::shared_ptr<ScriptedServer::Peer> Peer_;
  std::string Bytes_;
  std::size_t Writes_ = 0;
};

} // namespace

// Guards against an instance that runs out of memory, and ends with the
// requests of all clients, as a server's answers have no end.
TEST_CASE_METHOD(ScriptedFixture,
                 "Answers without an end fill no memory and leave other "
                 "requests alone") {
  constexpr std::size_t Callers = 40;
  constexpr std::size_t MaxGrowth = std::size_t{96} << 20;
  std::string const Start = GENERATE(
      std::string(), std::string("HTTP/1.1 200 OK\r\nX-Long: "),
      std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 C\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\n\r\n"),
      std::string("HTTP/1.1 500 Broken\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n1;"),
      std::string("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: "));
  CAPTURE(Start);
  auto const Before = peakMemory(*Instance_);
  for (int Number = 0; Number < 5; ++Number)
    add("i-endless-" + std::to_string(Number),
        [Start](ScriptedServer::Peer &Peer, std::string const &, std::size_t) {
          Peer.write(Start);
          std::make_shared<EndlessWriter>(
              Peer.shared_from_this(), std::string(std::size_t{64} << 10, 'x'))
              ->writeNext();
        });
  REQUIRE(await([&] { return send("GET", "/read/a").Status_ >= 500; }));
  std::vector<std::thread> Clients;
  for (std::size_t Index = 0; Index < Callers; ++Index)
    Clients.emplace_back([this] { send("GET", "/read/b"); });
  for (auto &Client : Clients)
    Client.join();
  CHECK(Instance_->isReady());
  CHECK(peakMemory(*Instance_) - Before < MaxGrowth);
}
