#include "IdentificationFixture.h"

#include <LibHttp/AnswerWitness.h>

using namespace laburnum;
using namespace laburnum::test;

namespace {

std::string const Unframed = "HTTP/1.1 200 OK\r\n\r\nwhole";

/// A server whose answers end with their connections.
struct Fixture : IdentificationFixture {
  /// Begins an answer on the first connection, after its process has said that
  /// it is p1 if it is to identify itself.
  std::shared_ptr<AnswerRecorder> beginAnswer(ProcessCheck Check) {
    Check_ = Check;
    auto Observer = sendFor("p1");
    if (Check == ProcessCheck::BeforeRequest) {
      REQUIRE(awaitBytes(Question));
      peer().write(identification("p1"));
    }
    REQUIRE(awaitBytes(Run));
    peer().write(Unframed);
    REQUIRE(runUntil(Context_, [&] { return Observer->Body_ == "whole"; }));
    // Another one is opened beside it.
    REQUIRE(awaitConnections(2));
    settle();
    CHECK(peer().Received_.empty());
    return Observer;
  }
  /// Waits until the newest connection is asked, whatever its number.
  bool awaitQuestion() {
    return runUntil(Context_,
                    [&] { return countIn(peer().Received_, Question) == 1; });
  }
  /// The connection of the answer that was begun first.
  RawPeer &answering() { return *Server_.Peers_.front(); }
  bool awaitConnections(std::size_t Count) {
    return runUntil(Context_, [&] { return Server_.Peers_.size() == Count; });
  }
  void checkBroken(AnswerRecorder const &Observer) {
    REQUIRE(awaitFailure(Observer));
    CHECK(Observer.Evidence_->Progress_ == AttemptProgress::AnswerBegun);
    CHECK(runStateOf(*Observer.Evidence_) == RunState::MayHaveRun);
    CHECK_FALSE(Observer.IsComplete_);
  }
};

} // namespace

TEST_CASE_METHOD(Fixture, "An answer that ends with its connection is whole "
                          "only if its process goes on running") {
  auto const Answer = beginAnswer(ProcessCheck::BeforeRequest);
  SECTION("it goes on") {
    answering().close();
    REQUIRE(awaitBytes(Question, 2));
    CHECK_FALSE(Answer->isOver());
    peer().write(identification("p1"));
    CHECK(awaitAnswer(*Answer));
    // The connection serves other requests.
    sendFor("p1");
    CHECK(awaitBytes(Run, 2));
  }
  SECTION("another process has its address") {
    answering().close();
    REQUIRE(awaitBytes(Question, 2));
    peer().write(identification("p2"));
    checkBroken(*Answer);
  }
  SECTION("a process that does not identify itself has its address") {
    answering().close();
    REQUIRE(awaitBytes(Question, 2));
    peer().write(answer("404 Not Found", ""));
    checkBroken(*Answer);
  }
  SECTION("it was killed") {
    Server_.Acceptor_.close();
    answering().close();
    peer().close();
    checkBroken(*Answer);
  }
  SECTION("both connections are closed, and its address is not") {
    bool const IsAnswerFirst = GENERATE(true, false);
    (IsAnswerFirst ? answering() : peer()).close();
    (IsAnswerFirst ? peer() : answering()).close();
    checkBroken(*Answer);
    CHECK(Server_.Peers_.size() == 2);
  }
  SECTION("it closes the other connection just before, and opens another") {
    peer().close();
    REQUIRE(awaitConnections(3));
    settle();
    answering().close();
    checkBroken(*Answer);
  }
  SECTION("the other connection is reset when it is asked") {
    answering().close();
    REQUIRE(awaitBytes(Question, 2));
    peer().reset();
    checkBroken(*Answer);
    CHECK(Server_.Peers_.size() == 2);
  }
  SECTION("it ends when it is asked") {
    answering().close();
    REQUIRE(awaitBytes(Question, 2));
    peer().close();
    checkBroken(*Answer);
    CHECK(Server_.Peers_.size() == 2);
  }
  SECTION("it closes the other connection earlier, and goes on") {
    peer().close();
    REQUIRE(awaitConnections(3));
    passTime(AnswerWitness::Simultaneous);
    answering().close();
    REQUIRE(awaitQuestion());
    peer().write(identification("p1"));
    CHECK(awaitAnswer(*Answer));
  }
  SECTION("it does not answer") {
    answering().close();
    REQUIRE(awaitBytes(Question, 2));
    checkBroken(*Answer);
  }
  SECTION("its connection is reset") {
    answering().reset();
    checkBroken(*Answer);
    CHECK(Server_.Peers_.size() == 2);
    CHECK(peer().Received_.empty());
  }
}

TEST_CASE_METHOD(Fixture,
                 "A process that does not identify itself answers on "
                 "a connection that was open before the answer's end") {
  auto const Answer = beginAnswer(ProcessCheck::AtEndOfConnection);
  SECTION("it goes on") {
    answering().close();
    REQUIRE(awaitBytes(Question, 2));
    peer().write(answer("404 Not Found", ""));
    CHECK(awaitAnswer(*Answer));
  }
  SECTION("it was killed") {
    answering().close();
    peer().close();
    checkBroken(*Answer);
    // Whoever answers on a later connection may be another process.
    CHECK(Server_.Peers_.size() == 2);
  }
}

TEST_CASE_METHOD(Fixture, "A server whose answers end with their connections "
                          "is asked who it is before the next request") {
  auto const First = beginAnswer(ProcessCheck::AtEndOfConnection);
  answering().close();
  REQUIRE(awaitBytes(Question, 2));
  peer().write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n"
               "\r\nprocess p1");
  REQUIRE(awaitAnswer(*First));
  auto const Second = sendFor("p1");
  REQUIRE(awaitBytes(Question, 3));
  SECTION("it says so") {
    // Also another process than the listed one may answer.
    std::string const Name = GENERATE("p1", "p2");
    peer().write(identification(Name));
    REQUIRE(awaitBytes(Run, 3));
    peer().write(Unframed);
    peer().close();
    REQUIRE(awaitBytes(Question, 4));
    peer().write(identification(Name));
    CHECK(awaitAnswer(*Second));
  }
  SECTION("it does not, and has another connection before the request") {
    auto &Asked = peer();
    Asked.write(answer("404 Not Found", ""));
    REQUIRE(awaitConnections(4));
    REQUIRE(
        runUntil(Context_, [&] { return countIn(Asked.Received_, Run) == 1; }));
    Asked.write(Unframed);
    Asked.close();
    REQUIRE(awaitBytes(Question, 4));
    peer().write(answer("404 Not Found", ""));
    CHECK(awaitAnswer(*Second));
  }
}

TEST_CASE_METHOD(Fixture, "An idle connection shows that a process goes on "
                          "running") {
  serveFor("p1");
  // Two requests at a time: one keeps its connection, the other's answer ends
  // with its own.
  auto const Answer = sendFor("p1");
  auto const Other = sendFor("p1");
  REQUIRE(awaitBytes(Question, 2));
  peer().write(identification("p1"));
  REQUIRE(awaitBytes(Run, 2));
  peer().write(answer("200 OK", "ok"));
  REQUIRE(awaitAnswer(*Other));
  Server_.Peers_.front()->write(Unframed);
  REQUIRE(runUntil(Context_, [&] { return Answer->Body_ == "whole"; }));
  settle();
  SECTION("it answers") {
    answering().close();
    REQUIRE(awaitBytes(Question, 2, 2));
    peer().write(identification("p1"));
    CHECK(awaitAnswer(*Answer));
    CHECK(Server_.Peers_.size() == 2);
  }
  SECTION("it is closed before the answer, and another one answers") {
    peer().close();
    REQUIRE(awaitConnections(3));
    passTime(AnswerWitness::Simultaneous);
    answering().close();
    REQUIRE(awaitQuestion());
    peer().write(identification("p1"));
    CHECK(awaitAnswer(*Answer));
  }
  SECTION("it is closed after the answer, and its address is not") {
    answering().close();
    REQUIRE(awaitBytes(Question, 2, 2));
    peer().close();
    checkBroken(*Answer);
    CHECK(Server_.Peers_.size() == 2);
  }
  SECTION("the process was killed") {
    answering().close();
    REQUIRE(awaitBytes(Question, 2, 2));
    Server_.Acceptor_.close();
    peer().close();
    checkBroken(*Answer);
  }
}

TEST_CASE_METHOD(Fixture, "An answer whose body is not used needs no proof of "
                          "its end") {
  Check_ = ProcessCheck::AtEndOfConnection;
  auto const Answer = sendFor("p1");
  REQUIRE(awaitBytes(Run));
  peer().write("HTTP/1.1 503 -\r\nId: head only\r\n\r\nbusy");
  peer().close();
  CHECK(awaitAnswer(*Answer));
  CHECK(Server_.Peers_.size() == 1);
}

TEST_CASE_METHOD(Fixture, "A call that is cancelled while its answer's end is "
                          "verified tells nothing more") {
  auto const Answer = beginAnswer(ProcessCheck::BeforeRequest);
  answering().close();
  REQUIRE(awaitBytes(Question, 2));
  Call_->cancel();
  CHECK(runUntil(Context_, [&] { return peer().IsClosed_; }));
  CHECK_FALSE(Answer->isOver());
}
