#include "RawServer.h"

#include <LibBackend/HttpBackendClient.h>
#include <ServiceStandin/ServiceServer.h>
#include <catch2/catch.hpp>

using namespace laburnum;

using Socket = RawServer::Socket;

static BackendServer serverAt(std::uint16_t Port) {
  BackendServer Server;
  Server.Endpoint_ = {"127.0.0.1", Port};
  return Server;
}

static PlainCall makeCall() {
  PlainCall Call;
  Call.Request_ = RequestId("r1");
  Call.Attempt_ = 3;
  Call.Method_ = "POST";
  Call.Path_ = "/fees/1?x=%20y";
  Call.Body_ = "{}";
  Call.Key_ = IdempotencyKey("k1");
  Call.Timeout_ = std::chrono::seconds(20);
  return Call;
}

static AttemptEvidence evidenceOf(RawServer const &Raw, Duration Timeout,
                                  Duration Stall = std::chrono::seconds(20)) {
  BackendClientSettings Settings;
  Settings.StallTimeout_ = Stall;
  auto Call = makeCall();
  Call.Timeout_ = Timeout;
  auto Evidence =
      HttpBackendClient(Settings).call(serverAt(Raw.port()), Call).Evidence_;
  Evidence.Detail_.clear();
  return Evidence;
}

/// Evidence of a call whose server sends Answer and closes.
static AttemptEvidence evidenceOf(std::string const &Answer) {
  RawServer Raw([&](Socket &Peer) {
    RawServer::readRequest(Peer);
    RawServer::send(Peer, Answer);
  });
  return evidenceOf(Raw, std::chrono::seconds(20));
}

static AttemptEvidence expected(AttemptProgress Progress, AttemptEnd End,
                                std::int32_t Status = 0) {
  return {Progress, End, Status, ""};
}

TEST_CASE("A refused connection is distinguished from a broken one") {
  std::uint16_t ClosedPort = 0;
  {
    RawServer const Raw([](Socket &) {});
    ClosedPort = Raw.port();
  }
  auto const Refused =
      HttpBackendClient().call(serverAt(ClosedPort), makeCall()).Evidence_;
  CHECK(Refused.Progress_ == AttemptProgress::NotConnected);
  CHECK(Refused.End_ == AttemptEnd::ConnectionFailed);

  CHECK(evidenceOf("") ==
        expected(AttemptProgress::RequestSent, AttemptEnd::ConnectionFailed));
}

TEST_CASE("An answer is complete only by its framing") {
  auto const Begun =
      expected(AttemptProgress::AnswerBegun, AttemptEnd::ConnectionFailed, 200);
  auto const Whole =
      expected(AttemptProgress::AnswerWhole, AttemptEnd::Answered, 200);
  std::string const Ok = "HTTP/1.1 200 OK\r\n";
  std::string const Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";

  CHECK(evidenceOf(Ok + "Content-Length: 4\r\n\r\nab") == Begun);
  CHECK(evidenceOf(Ok + "Content-Length: 4\r\n\r\nabcd") == Whole);
  CHECK(evidenceOf(Ok + "\r\nabcd") == Begun);
  CHECK(evidenceOf(Chunked + "4\r\nabcd\r\n") == Begun);
  CHECK(evidenceOf(Chunked + "4\r\nabcd\r\n0\r\n") == Begun);
  CHECK(evidenceOf(Chunked + "4\r\nabcd\r\n0\r\n\r\n") == Whole);
  CHECK(evidenceOf(Chunked + "4\r\nabcd\r") == Begun);
  CHECK(evidenceOf(Ok + "Content-Len") == Begun);
  CHECK(evidenceOf("HTTP/1.1 2").Progress_ == AttemptProgress::RequestSent);
}

TEST_CASE("A call on a reused connection that breaks may have run") {
  RawServer Raw([](Socket &Peer) {
    RawServer::readRequest(Peer);
    RawServer::send(Peer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    RawServer::readRequest(Peer);
  });
  HttpBackendClient Client;
  auto const First = Client.call(serverAt(Raw.port()), makeCall());
  CHECK(First.Evidence_.Progress_ == AttemptProgress::AnswerWhole);
  auto const Second = Client.call(serverAt(Raw.port()), makeCall());
  CHECK(Second.Evidence_.Progress_ == AttemptProgress::RequestSent);
  CHECK(Second.Evidence_.End_ == AttemptEnd::ConnectionFailed);
  CHECK(Raw.connections() == 1);
}

TEST_CASE("A silent server times out before and within an answer") {
  RawServer Mute([](Socket &Peer) { RawServer::waitForClose(Peer); });
  CHECK(evidenceOf(Mute, std::chrono::milliseconds(500)) ==
        expected(AttemptProgress::RequestSent, AttemptEnd::TimedOut));
  CHECK(evidenceOf(Mute, Duration::zero()) ==
        expected(AttemptProgress::NotConnected, AttemptEnd::TimedOut));

  RawServer Stalling([](Socket &Peer) {
    RawServer::send(Peer, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
    RawServer::waitForClose(Peer);
  });
  CHECK(evidenceOf(Stalling, std::chrono::hours(1),
                   std::chrono::milliseconds(50)) ==
        expected(AttemptProgress::AnswerBegun, AttemptEnd::TimedOut, 200));

  RawServer Unframed([](Socket &Peer) {
    RawServer::send(Peer, "HTTP/1.1 200 OK\r\n\r\nab");
    RawServer::waitForClose(Peer);
  });
  CHECK(evidenceOf(Unframed, std::chrono::hours(1),
                   std::chrono::milliseconds(50)) ==
        expected(AttemptProgress::AnswerBegun, AttemptEnd::TimedOut, 200));
}

TEST_CASE("Only a marked 503 is a refusal") {
  std::string const Head = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n";
  CHECK(evidenceOf(Head + "Laburnum-Refused: yes\r\n\r\n").End_ ==
        AttemptEnd::Refused);
  CHECK(evidenceOf(Head + "\r\n") ==
        expected(AttemptProgress::AnswerWhole, AttemptEnd::Answered, 503));
}

TEST_CASE("A call carries its identifiers and no hop-by-hop fields") {
  std::string Seen;
  RawServer Raw([&](Socket &Peer) {
    Seen = RawServer::readRequest(Peer);
    RawServer::send(Peer, "HTTP/1.1 204 None\r\n\r\n");
  });
  auto Call = makeCall();
  Call.Fields_ = {{"X-Stall", "7"},
                  {"Transfer-Encoding", "chunked"},
                  {"idempotency-key", "other"},
                  {"Laburnum-Attempt", "9"}};
  HttpBackendClient Client;
  auto const Result = Client.call(serverAt(Raw.port()), Call);
  CHECK(Result.Evidence_.Progress_ == AttemptProgress::AnswerWhole);
  for (char const *Text :
       {"POST /fees/1?x=%20y HTTP/1.1", "Laburnum-Request-Id: r1\r\n",
        "Laburnum-Attempt: 3\r\n", "Idempotency-Key: k1\r\n", "X-Stall: 7\r\n"})
    CHECK(Seen.find(Text) != std::string::npos);
  for (char const *Text : {"chunked", "other", "Attempt: 9"})
    CHECK(Seen.find(Text) == std::string::npos);
}

TEST_CASE("A call that would inject fields or requests is not sent") {
  RawServer const Raw([](Socket &) {});
  auto Split = makeCall();
  Split.Path_ = "/a HTTP/1.1\r\nX: y";
  auto Smuggled = makeCall();
  Smuggled.Fields_ = {{"X", "1\r\nY: 2"}};
  HttpBackendClient Client;
  for (auto const &Call : {Split, Smuggled})
    CHECK(Client.call(serverAt(Raw.port()), Call).Evidence_.Progress_ ==
          AttemptProgress::NotConnected);
  CHECK(Raw.connections() == 0);
}

TEST_CASE("The service stand-in's faults give the expected evidence and runs") {
  ServiceServer Service(4);
  auto const Server = serverAt(Service.start(0));
  HttpBackendClient Client;
  auto const EvidenceOfFault = [&](ServiceFault Fault) {
    Service.setFault({Fault, 1, Duration::zero()});
    return Client.call(Server, makeCall()).Evidence_;
  };
  CHECK(EvidenceOfFault(ServiceFault::ResetBeforeRun).Progress_ ==
        AttemptProgress::RequestSent);
  CHECK(EvidenceOfFault(ServiceFault::Refuse).End_ == AttemptEnd::Refused);
  CHECK(Service.counts().Runs_ == 0);
  CHECK(EvidenceOfFault(ServiceFault::ResetAfterRun).Progress_ ==
        AttemptProgress::RequestSent);
  CHECK(EvidenceOfFault(ServiceFault::PartialAnswer).Progress_ ==
        AttemptProgress::AnswerBegun);
  CHECK(EvidenceOfFault(ServiceFault::None).Progress_ ==
        AttemptProgress::AnswerWhole);
  CHECK(Service.counts().ByKey_.at("k1") == 3);

  auto const Result = Client.call(Server, makeCall());
  CHECK(Result.Load_ == LoadReport{1, 0});
  CHECK(Result.Answer_.ContentType_ == "application/json");
}
