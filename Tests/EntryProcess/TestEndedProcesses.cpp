#include "EntryFixture.h"
#include "ScriptedServer.h"
#include "StandinRecords.h"
#include "StreamChecks.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace laburnum;
using namespace laburnum::entry_process;

using Stop = VersionedFleet::Stop;

namespace {

void addServers(VersionedFleet &Fleet, std::vector<std::string> const &Ids) {
  for (auto const &Id : Ids)
    Fleet.addServer(Id, "v1");
}

/// Reads the streams to their ends and checks that none ended as complete
/// before its last event. Returns how many were complete.
std::size_t countComplete(std::deque<StreamClient> &Begun) {
  std::size_t Complete = 0;
  for (auto &Client : Begun) {
    Client.readToEnd();
    if (!Client.isComplete())
      continue;
    CHECK(Client.events().size() == VersionedFleet::StreamLength);
    ++Complete;
  }
  return Complete;
}

} // namespace

TEST_CASE("A stream is not complete because its server's process was killed") {
  VersionedFleet Fleet(2, Stop::Waits);
  Fleet.setProcessEnd(VersionedFleet::ProcessEnd::Closes);
  addServers(Fleet, {"a", "b"});
  Fleet.startInstances();
  auto Begun = beginStreams(Fleet, 0);
  SECTION("other servers go on with it") {
    addServers(Fleet, {"c", "d"});
    Fleet.awaitList();
    Fleet.crashServer("a");
    Fleet.crashServer("b");
    CHECK(countComplete(Begun) == Streams);
  }
  SECTION("the server is back at once") {
    Fleet.restartServer("a", "v1");
    Fleet.restartServer("b", "v1");
    countComplete(Begun);
  }
  SECTION("no server is left") {
    Fleet.crashServer("a");
    Fleet.crashServer("b");
    CHECK(countComplete(Begun) == 0);
  }
}

TEST_CASE("A stream that is passed on is not complete because its server's "
          "process was killed") {
  VersionedFleet Fleet(2, Stop::Waits);
  Fleet.setProcessEnd(VersionedFleet::ProcessEnd::Closes);
  addServers(Fleet, {"a", "b"});
  Fleet.startInstances();
  Fleet.cut(0, Cut::Resets);
  auto Begun = beginStreams(Fleet, 0);
  Fleet.crashServer("a");
  Fleet.crashServer("b");
  CHECK(countComplete(Begun) == 0);
}

namespace {

/// An instance before servers whose answers have no length, and are sent in two
/// parts.
struct UnframedFixture : EntryFixture {
  enum class End { Sound, ProcessKilled };

  UnframedFixture() {
    on([this] { Store_.remove("servers", "i-1"); });
  }
  ~UnframedFixture() {
    on([this] { Servers_.clear(); });
  }

  /// Adds a server that ends its first answers so, and all later ones soundly.
  void add(std::string const &Id, End End, bool IsReporting) {
    on([&] {
      Servers_.push_back(std::make_unique<ScriptedServer>(
          Thread_.context(), [this, End, Index = Servers_.size()](
                                 ScriptedServer::Peer &Peer,
                                 std::string const &AttemptId, std::size_t) {
            ++Runs_;
            Peer.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + AttemptId +
                       "\r\nX-Server-Stamp: stamp\r\n\r\nthe whole");
            if (End == End::ProcessKilled) {
              Servers_[Index]->stopListening();
              return Servers_[Index]->closeConnections();
            }
            Peer.write(" answer");
            Peer.close();
          }));
      if (IsReporting)
        Servers_.back()->setReport("{\"born\":1700000000000}");
      Store_.put(
          "servers", Id,
          serverJson(Servers_.back()->endpoint(), "ready", 1700000000000, 1));
    });
    Instance_->process().awaitLine("server_changed server=" + Id);
  }

  std::vector<std::unique_ptr<ScriptedServer>> Servers_;
  std::size_t Runs_ = 0;
};

} // namespace

TEST_CASE_METHOD(UnframedFixture,
                 "An answer without a length is not whole because its "
                 "server's process was killed") {
  bool const IsReporting = GENERATE(true, false);
  CAPTURE(IsReporting);
  add("i-10", End::ProcessKilled, IsReporting);
  SECTION("what may be repeated is answered by another server") {
    add("i-11", End::Sound, IsReporting);
    // Some request comes to the server that is killed, which then runs in vain.
    std::size_t Requests = 0;
    while (on([this] { return Runs_; }) == Requests && ++Requests <= 50) {
      auto const Answer = send("GET", "/read/x");
      CHECK(Answer.Status_ == 200);
      CHECK(Answer.Body_ == "the whole answer");
    }
    CHECK(on([this] { return Runs_; }) == Requests + 1);
  }
  SECTION("what may not be repeated fails and runs once") {
    auto const Answer = send("POST", "/order/x");
    CHECK(Answer.Status_ == 502);
    CHECK(on([this] { return Runs_; }) == 1);
  }
}

TEST_CASE_METHOD(UnframedFixture,
                 "An answer without a length is whole where its server goes "
                 "on running") {
  bool const IsReporting = GENERATE(true, false);
  add("i-10", End::Sound, IsReporting);
  for (std::string const Path : {"/read/x", "/order/x"}) {
    auto const Answer = send("POST", Path);
    CHECK(Answer.Status_ == 200);
    CHECK(Answer.Body_ == "the whole answer");
  }
}

TEST_CASE_METHOD(UnframedFixture, "A refusal without a length or an identifier "
                                  "stays one where its server is gone") {
  auto const Add = [this](std::string const &Id,
                          ScriptedServer::Script Script) {
    on([&] {
      Servers_.push_back(
          std::make_unique<ScriptedServer>(Thread_.context(), Script));
      Store_.put(
          "servers", Id,
          serverJson(Servers_.back()->endpoint(), "ready", 1700000000000, 1));
    });
    Instance_->process().awaitLine("server_changed server=" + Id);
  };
  Add("i-10",
      [this](ScriptedServer::Peer &Peer, std::string const &, std::size_t) {
        Peer.write("HTTP/1.1 503 -\r\nX-Not-Executed: 1\r\n\r\nbusy");
        Servers_.front()->stopListening();
        Peer.close();
      });
  // It has run nowhere.
  CHECK(send("POST", "/order/x").Status_ == 503);
}
