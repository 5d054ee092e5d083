#include "RawServer.h"

#include <EngineStandin/EngineServer.h>
#include <LibBackend/HttpBackendClient.h>
#include <catch2/catch.hpp>

using namespace laburnum;

static BackendServer serverAt(std::uint16_t Port) {
  BackendServer Server;
  Server.Endpoint_ = {"127.0.0.1", Port};
  return Server;
}

static CompletionCall makeCall(AttemptNumber Attempt = 1) {
  CompletionCall Call;
  Call.Request_ = RequestId("r1");
  Call.Attempt_ = Attempt;
  for (int Word = 0; Word < 40; ++Word)
    Call.Prompt_ += "word" + std::to_string(Word) + ' ';
  Call.MaxTokens_ = 30;
  Call.Timeout_ = std::chrono::seconds(20);
  return Call;
}

static EngineSettings fastEngine() {
  EngineSettings Settings;
  Settings.TokenInterval_ = std::chrono::microseconds(200);
  Settings.PrefillTokensPerSecond_ = 1000000;
  return Settings;
}

TEST_CASE(
    "A resumed stream continues byte for byte and uses the prefix cache") {
  EngineServer Engine(fastEngine(), 4);
  auto const Server = serverAt(Engine.start(0));
  HttpBackendClient Client;
  std::vector<std::string> Whole;
  auto const First =
      Client.complete(Server, makeCall(), [&](TokenPiece const &Piece) {
        CHECK(Piece.Offset_ == Whole.size());
        Whole.push_back(Piece.Text_);
        return Continue::Yes;
      });
  CHECK(First.Evidence_.Progress_ == AttemptProgress::AnswerWhole);
  CHECK(First.ComputedTokens_ == 40);
  REQUIRE(Whole.size() == 30);

  auto Resumed = makeCall(2);
  Resumed.ResumeFrom_ = 10;
  Resumed.Produced_.assign(Whole.begin(), Whole.begin() + 10);
  std::vector<std::string> Rest = Resumed.Produced_;
  auto const Second =
      Client.complete(Server, Resumed, [&](TokenPiece const &Piece) {
        CHECK(Piece.Attempt_ == 2);
        Rest.push_back(Piece.Text_);
        return Continue::Yes;
      });
  CHECK(Rest == Whole);
  CHECK(Second.ComputedTokens_ == 2); // 48 of 50 are in full, cached blocks.

  Resumed.Produced_[3] = "wrong";
  auto const Wrong = Client.complete(
      Server, Resumed, [](TokenPiece const &) { return Continue::Yes; });
  CHECK(Wrong.Evidence_.Status_ == 400);
  CHECK(Wrong.Evidence_.End_ == AttemptEnd::Answered);
}

TEST_CASE("A sink that returns No cancels the attempt at the engine") {
  EngineServer Engine(fastEngine(), 4);
  auto const Server = serverAt(Engine.start(0));
  auto Call = makeCall();
  Call.MaxTokens_ = 100000;
  auto const Result =
      HttpBackendClient().complete(Server, Call, [](TokenPiece const &Piece) {
        return Piece.Offset_ < 2 ? Continue::Yes : Continue::No;
      });
  CHECK(Result.Evidence_.End_ == AttemptEnd::Cancelled);
  CHECK(Result.Evidence_.Progress_ == AttemptProgress::AnswerBegun);
  CHECK(Engine.counts().Cancelled_ == 1);
  CHECK(Engine.counts().Finished_ == 0);
}

static std::string chunk(std::string const &Data) {
  auto const Event = "data: " + Data + "\n\n";
  std::ostringstream Text;
  Text << std::hex << Event.size() << "\r\n" << Event << "\r\n";
  return Text.str();
}

/// Serves one broken stream, then receives its cancellation.
static CompletionResult breakStream(std::string const &Chunks,
                                    std::string &Cancelled) {
  RawServer Raw([&](RawServer::Socket &Peer) {
    auto const Request = RawServer::readRequest(Peer);
    if (Request.starts_with("POST /v1/cancel")) {
      Cancelled = Request;
      RawServer::send(Peer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    RawServer::send(Peer, "HTTP/1.1 200 OK\r\nLaburnum-Load: running=2 "
                          "queued=1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                              Chunks);
  });
  // Long, so that the result does not depend on the load of the machine.
  BackendClientSettings Settings;
  Settings.CancelTimeout_ = std::chrono::seconds(60);
  return HttpBackendClient(Settings).complete(
      serverAt(Raw.port()), makeCall(4),
      [](TokenPiece const &) { return Continue::Yes; });
}

TEST_CASE("A stream without its last message is incomplete and is cancelled") {
  auto const Piece = chunk(R"({"offset":0,"text":"a"})");
  for (auto const &Chunks :
       {Piece, Piece + "0\r\n\r\n", chunk("{}"), chunk("no JSON")}) {
    std::string Cancelled;
    auto const Result = breakStream(Chunks, Cancelled);
    CHECK(Result.Evidence_.Progress_ == AttemptProgress::AnswerBegun);
    CHECK(Result.Evidence_.End_ == AttemptEnd::ConnectionFailed);
    CHECK(Result.Load_ == LoadReport{2, 1});
    CHECK(Cancelled.find(R"("attempt":4,"request_id":"r1")") !=
          std::string::npos);
  }
}

TEST_CASE("A cancellation cut off by a closing connection is retried") {
  std::string Cancelled;
  RawServer Raw([&](RawServer::Socket &Peer) {
    auto const Request = RawServer::readRequest(Peer);
    if (Request.starts_with("POST /v1/cancel")) {
      Cancelled = Request;
      RawServer::send(Peer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    RawServer::send(Peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n0\r\n\r\n");
    // The cancellation arrives on the reused connection, which then closes.
    RawServer::readRequest(Peer);
  });
  HttpBackendClient().complete(
      serverAt(Raw.port()), makeCall(4),
      [](TokenPiece const &) { return Continue::Yes; });
  CHECK(Cancelled.find(R"("attempt":4,"request_id":"r1")") !=
        std::string::npos);
}

TEST_CASE("A stream with its last message is complete even if it breaks") {
  std::string Cancelled;
  auto const Result = breakStream(
      chunk(R"({"done":true,"computed_tokens":7,"running":1,"queued":0})"),
      Cancelled);
  CHECK(Result.Evidence_.Progress_ == AttemptProgress::AnswerWhole);
  CHECK(Result.Evidence_.End_ == AttemptEnd::Answered);
  CHECK(Result.ComputedTokens_ == 7);
  CHECK(Result.Load_ == LoadReport{1, 0});
  CHECK(Cancelled.empty());
}

TEST_CASE("A stalled stream times out and is cancelled") {
  std::string Last;
  RawServer Raw([&](RawServer::Socket &Peer) {
    Last = RawServer::readRequest(Peer);
    RawServer::send(Peer, "HTTP/1.1 200 OK\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n" +
                              chunk(R"({"offset":0,"text":"a"})"));
    RawServer::waitForClose(Peer);
  });
  BackendClientSettings Settings;
  Settings.StallTimeout_ = std::chrono::milliseconds(50);
  std::uint32_t Pieces = 0;
  auto const Result = HttpBackendClient(Settings).complete(
      serverAt(Raw.port()), makeCall(), [&](TokenPiece const &) {
        ++Pieces;
        return Continue::Yes;
      });
  CHECK(Pieces == 1);
  CHECK(Result.Evidence_.End_ == AttemptEnd::TimedOut);
  CHECK(Result.Evidence_.Progress_ == AttemptProgress::AnswerBegun);
  CHECK(Last.starts_with("POST /v1/cancel"));
}
