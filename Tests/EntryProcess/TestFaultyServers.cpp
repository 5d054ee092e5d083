#include "EntryFixture.h"
#include "ScriptedServer.h"
#include "StandinRecords.h"

#include <catch2/catch.hpp>

#include <memory>
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
