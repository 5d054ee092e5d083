#include <LibBackend/HttpOrderClient.h>

#include <EngineStandin/EngineServer.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

constexpr Duration Timeout = std::chrono::seconds(6);
constexpr std::size_t Threads = 4;

struct Engine {
  explicit Engine(FencingCheck Fencing) : Engine_(settings(Fencing), Threads) {
    Server_.Id_ = ServerId("s1");
    Server_.Endpoint_ = {"127.0.0.1", Engine_.start(0)};
  }
  ~Engine() { Engine_.stop(); }

  static EngineSettings settings(FencingCheck Fencing) {
    EngineSettings Result;
    Result.Fencing_ = Fencing;
    return Result;
  }

  EngineOrderOutcome send(std::uint64_t Fencing, std::string const &Id,
                          TimePoint Before = TimePoint::max()) {
    return Client_.send(Server_,
                        {Fencing, Id, EngineOrderKind::LoadModel, "chat"},
                        Before, Timeout);
  }

  EngineServer Engine_;
  BackendServer Server_;
  HttpOrderClient Client_;
};

} // namespace

TEST_CASE("A fenced engine rejects an old fencing number") {
  Engine Fenced(FencingCheck::Honoured);
  CHECK(Fenced.send(7, "a") == EngineOrderOutcome::Done);
  CHECK(Fenced.send(9, "b") == EngineOrderOutcome::Done);
  CHECK(Fenced.send(7, "c") == EngineOrderOutcome::Fenced);
}

TEST_CASE(
    "An unfenced engine accepts old numbers, so late orders are not sent") {
  Engine Unfenced(FencingCheck::Ignored);
  CHECK(Unfenced.send(9, "a") == EngineOrderOutcome::Done);
  CHECK(Unfenced.send(7, "b") == EngineOrderOutcome::Done);
  CHECK(Unfenced.send(9, "c", readClock()) == EngineOrderOutcome::Failed);
}

TEST_CASE("An order to an unreachable engine fails") {
  Engine Stopped(FencingCheck::Honoured);
  Stopped.Engine_.stop();
  CHECK(Stopped.send(7, "a") == EngineOrderOutcome::Failed);
}
