#include "IdentificationFixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace laburnum;
using namespace laburnum::test;

using Fixture = IdentificationFixture;

TEST_CASE_METHOD(Fixture, "A request for a process is sent after the server "
                          "has identified itself as that process") {
  auto const Observer = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  settle();
  CHECK(countIn(peer().Received_, Run) == 0);
  CHECK(Call_->progress() == AttemptProgress::Connected);
  auto const Asked = peer().Received_.size();
  peer().write(identification("p1"));
  REQUIRE(awaitBytes(Run));
  CHECK(peer().Received_.find(Run) == Asked);
  CHECK(Call_->progress() == AttemptProgress::RequestSent);
  peer().write(answer("200 OK", "ok"));
  REQUIRE(awaitAnswer(*Observer));
  CHECK(Observer->Body_ == "ok");
  CHECK_FALSE(Observer->OtherProcess_);
}

TEST_CASE_METHOD(Fixture, "A request without a process is sent without a "
                          "question") {
  auto const Observer = sendFor(std::nullopt);
  REQUIRE(awaitBytes(Run));
  peer().write(Plain);
  REQUIRE(awaitAnswer(*Observer));
  CHECK(countIn(peer().Received_, Question) == 0);
}

TEST_CASE_METHOD(Fixture, "A connection that was identified is reused without "
                          "a question") {
  serveFor("p1");
  auto const Process =
      GENERATE(std::optional<std::string>("p1"), std::optional<std::string>());
  auto const Second = sendFor(Process);
  REQUIRE(awaitBytes(Run, 1, 2));
  peer().write(answer("200 OK", "ok"));
  REQUIRE(awaitAnswer(*Second));
  // What is known of the connection outlives a request without a process.
  auto const Third = sendFor("p1");
  REQUIRE(awaitBytes(Run, 1, 3));
  peer().write(answer("200 OK", "ok"));
  REQUIRE(awaitAnswer(*Third));
  CHECK(countIn(peer().Received_, Question) == 1);
  CHECK(Pool_->counts() == PoolCounts{1, 2});
}

TEST_CASE_METHOD(Fixture, "Another process does not get the request") {
  auto const Observer = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  peer().write(identification("p2"));
  checkNotRun(*Observer);
  CHECK(Observer->OtherProcess_ == "p2");
  CHECK_FALSE(Observer->HasFailedBefore_);
  CHECK(Observer->Evidence_->End_ == AttemptEnd::Refused);
  CHECK(runUntil(Context_, [&] { return peer().IsClosed_; }));
}

TEST_CASE_METHOD(Fixture, "No event follows when the call is cancelled by the "
                          "news of another process") {
  struct Canceller : AnswerRecorder {
    void onOtherProcess(std::string const &Process) override {
      AnswerRecorder::onOtherProcess(Process);
      Fixture_->Call_->cancel();
    }
    Fixture *Fixture_ = nullptr;
  };
  auto const Observer = std::make_shared<Canceller>();
  Observer->Fixture_ = this;
  startFor("p1", Observer);
  REQUIRE(awaitBytes(Question));
  peer().write(identification("p2"));
  REQUIRE(runUntil(Context_, [&] { return peer().IsClosed_; }));
  settle();
  CHECK(Observer->OtherProcess_ == "p2");
  CHECK_FALSE(Observer->isOver());
  CHECK(countIn(peer().Received_, Run) == 0);
}

TEST_CASE_METHOD(Fixture, "An idle connection to another process is not "
                          "reused") {
  serveFor("p1");
  auto const Observer = sendFor("p2");
  REQUIRE(awaitBytes(Question, 2));
  CHECK(runUntil(Context_, [&] { return Server_.Peers_.front()->IsClosed_; }));
  peer().write(identification("p2"));
  REQUIRE(awaitBytes(Run, 2));
  peer().write(answer("200 OK", "ok"));
  CHECK(awaitAnswer(*Observer));
  CHECK(countIn(Server_.Peers_.front()->Received_, Run) == 1);
  CHECK(Pool_->counts() == PoolCounts{2, 0});
}

TEST_CASE_METHOD(Fixture, "A connection that served a request without a "
                          "process is identified before it serves one with") {
  auto const First = sendFor(std::nullopt);
  REQUIRE(awaitBytes(Run));
  peer().write(answer("200 OK", "ok"));
  REQUIRE(awaitAnswer(*First));
  auto const Second = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  settle();
  CHECK(countIn(peer().Received_, Run) == 1);
  CHECK(Call_->isReused());
  SECTION("that process") {
    peer().write(identification("p1"));
    REQUIRE(awaitBytes(Run, 1, 2));
    peer().write(answer("200 OK", "ok"));
    CHECK(awaitAnswer(*Second));
    CHECK(Pool_->counts() == PoolCounts{1, 1});
  }
  SECTION("another process") {
    peer().write(identification("p2"));
    REQUIRE(awaitFailure(*Second));
    CHECK(runStateOf(*Second->Evidence_) == RunState::NotRun);
    REQUIRE(runUntil(Context_, [&] { return peer().IsClosed_; }));
    CHECK(countIn(peer().Received_, Run) == 1);
  }
}

TEST_CASE_METHOD(Fixture, "A server that does not identify itself gets the "
                          "request on the same connection, and is not asked "
                          "again") {
  auto const Unknown =
      GENERATE(answer("404 Not Found", "process p1"),
               answer("200 OK", "{\"other\":1}"), answer("200 OK", ""));
  CAPTURE(Unknown);
  auto const First = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  peer().write(Unknown);
  REQUIRE(awaitBytes(Run));
  peer().write(answer("200 OK", "ok"));
  REQUIRE(awaitAnswer(*First));
  CHECK(First->Body_ == "ok");
  CHECK_FALSE(First->OtherProcess_);
  auto const Second = sendFor("p2");
  REQUIRE(awaitBytes(Run, 1, 2));
  peer().write(answer("200 OK", "ok"));
  REQUIRE(awaitAnswer(*Second));
  CHECK(countIn(peer().Received_, Question) == 1);
  Pool_->closeIdle();
  sendFor("p1");
  REQUIRE(awaitBytes(Run, 2));
  CHECK(countIn(peer().Received_, Question) == 0);
}

TEST_CASE_METHOD(Fixture, "After two answers that cannot be read to their ends "
                          "the request goes over a new connection without the "
                          "question") {
  auto const Unknown = GENERATE(
      std::string("HTTP/1.1 200 OK\r\n\r\nprocess p1"),
      std::string("HTTP/1.1 200 OK\r\n\r\n"), std::string("SSH-2.0\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"),
      std::string("HTTP/1.1 404 Not Found\r\nConnection: close\r\n"
                  "Content-Length: 0\r\n\r\n"),
      answer("404 Not Found", "x") + "more",
      "HTTP/1.1 200 OK\r\nField: " + std::string(20000, 'x'));
  CAPTURE(Unknown);
  auto const Observer = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  peer().write(Unknown);
  REQUIRE(awaitBytes(Question, 2));
  peer().write(Unknown);
  REQUIRE(awaitBytes(Run, 3));
  CHECK(countIn(peer().Received_, Question) == 0);
  for (std::size_t Asked = 0; Asked < 2; ++Asked) {
    CHECK(runUntil(Context_, [&] { return Server_.Peers_[Asked]->IsClosed_; }));
    CHECK(countIn(Server_.Peers_[Asked]->Received_, Run) == 0);
  }
  CHECK_FALSE(Call_->isReused());
  peer().write(answer("200 OK", "ok"));
  REQUIRE(awaitAnswer(*Observer));
  CHECK(Observer->Body_ == "ok");
  auto const Second = sendFor("p1");
  REQUIRE(awaitBytes(Run, 3, 2));
  peer().write(answer("200 OK", "ok"));
  CHECK(awaitAnswer(*Second));
  CHECK(countIn(peer().Received_, Question) == 0);
}

TEST_CASE_METHOD(Fixture, "A server that has answered unusably once is asked "
                          "again before it gets a request") {
  auto const Once =
      GENERATE(std::string("SSH-2.0\r\n\r\n"),
               std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                           "Content-Length: 10\r\n\r\nprocess p1"));
  auto const First = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  peer().write(Once);
  REQUIRE(awaitBytes(Question, 2));
  SECTION("by that process") {
    peer().write(identification("p1"));
    REQUIRE(awaitBytes(Run, 2));
    peer().write(Plain);
    CHECK(awaitAnswer(*First));
  }
  SECTION("by another process") {
    peer().write(identification("p2"));
    REQUIRE(awaitFailure(*First));
    CHECK(First->OtherProcess_ == "p2");
    CHECK(countIn(peer().Received_, Run) == 0);
  }
}

TEST_CASE_METHOD(Fixture, "An answer without identification on one connection "
                          "does not affect a question on another") {
  auto const Unknown =
      GENERATE(answer("404 Not Found", ""), std::string("SSH-2.0\r\n\r\n"));
  auto const First = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  auto const Second = sendFor("p1");
  REQUIRE(awaitBytes(Question, 2));
  auto &Other = peer();
  Server_.Peers_.front()->write(Unknown);
  if (Unknown.starts_with("SSH")) {
    REQUIRE(awaitBytes(Question, 3));
    peer().write(Unknown);
  }
  REQUIRE(runUntil(Context_, [&] {
    return countIn(Server_.Peers_.front()->Received_, Run) +
               countIn(peer().Received_, Run) ==
           1;
  }));
  CHECK(countIn(Other.Received_, Run) == 0);
  SECTION("that process") {
    Other.write(identification("p1"));
    CHECK(
        runUntil(Context_, [&] { return countIn(Other.Received_, Run) == 1; }));
    Other.write(answer("200 OK", "ok"));
    CHECK(awaitAnswer(*Second));
  }
  SECTION("another process") {
    Other.write(identification("p2"));
    REQUIRE(awaitFailure(*Second));
    CHECK(Second->OtherProcess_ == "p2");
    CHECK(runStateOf(*Second->Evidence_) == RunState::NotRun);
    settle();
    CHECK(countIn(Other.Received_, Run) == 0);
  }
  SECTION("none") {
    Other.write(answer("404 Not Found", ""));
    CHECK(
        runUntil(Context_, [&] { return countIn(Other.Received_, Run) == 1; }));
  }
  SECTION("no HTTP") {
    auto const Connections = Server_.Peers_.size();
    Other.write("SSH-2.0\r\n\r\n");
    REQUIRE(awaitBytes(Run, Connections + 1));
    CHECK(countIn(Other.Received_, Run) == 0);
  }
}

TEST_CASE_METHOD(Fixture, "The connection that replaces one with an unreadable "
                          "identification is counted") {
  sendFor("p1");
  REQUIRE(awaitBytes(Question));
  peer().write("SSH-2.0\r\n\r\n");
  REQUIRE(awaitBytes(Question, 2));
  peer().write("SSH-2.0\r\n\r\n");
  REQUIRE(awaitBytes(Run, 3));
  CHECK(Pool_->counts() == PoolCounts{3, 0});
}

TEST_CASE_METHOD(Fixture, "A question that is not answered in time means that "
                          "the request did not run") {
  auto const *const Part =
      GENERATE("", "HTTP/1.1 200 OK\r\n",
               "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nprocess p");
  CAPTURE(Part);
  auto const BegunAt = std::chrono::steady_clock::now();
  auto const Observer = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  peer().write(Part);
  checkNotRun(*Observer);
  CHECK(std::chrono::steady_clock::now() - BegunAt >=
        std::chrono::milliseconds(400));
  CHECK(Observer->Evidence_->End_ == AttemptEnd::TimedOut);
  CHECK(runUntil(Context_, [&] { return peer().IsClosed_; }));
}

TEST_CASE_METHOD(Fixture, "A connection that ends during the question means "
                          "that the request did not run") {
  auto const *const Part =
      GENERATE("", "HTTP/1.1 200 OK\r\n",
               "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nprocess p");
  bool const IsReset = GENERATE(false, true);
  CAPTURE(Part, IsReset);
  auto const Observer = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  peer().write(Part);
  IsReset ? peer().reset() : peer().close();
  checkNotRun(*Observer);
  CHECK(Observer->Evidence_->End_ == AttemptEnd::ConnectionFailed);
  CHECK(Server_.Peers_.size() == 1);
}

TEST_CASE_METHOD(Fixture, "A connection with bytes behind the identification "
                          "does not get the request") {
  auto const Observer = sendFor("p1");
  for (std::size_t Connections = 1; Connections <= 2; ++Connections) {
    REQUIRE(awaitBytes(Question, Connections));
    peer().write(identification("p1") + answer("200 OK", "forged"));
  }
  checkNotRun(*Observer);
  CHECK(Observer->Evidence_->End_ == AttemptEnd::ConnectionFailed);
  CHECK(Observer->Body_.empty());
}

TEST_CASE_METHOD(Fixture, "A connection that the server closes after the "
                          "identification does not get the request") {
  auto const Observer = sendFor("p1");
  for (std::size_t Connections = 1; Connections <= 2; ++Connections) {
    REQUIRE(awaitBytes(Question, Connections));
    peer().write("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                 "Content-Length: 10\r\n\r\nprocess p1");
  }
  checkNotRun(*Observer);
  CHECK(Observer->Evidence_->End_ == AttemptEnd::ConnectionFailed);
}

TEST_CASE_METHOD(Fixture, "An identification may come byte by byte") {
  auto const Identification =
      GENERATE(identification("p1"),
               std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                           "\r\n8\r\nprocess \r\n2\r\np1\r\n0\r\n\r\n"));
  auto const Observer = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  for (auto const Byte : Identification) {
    CHECK(countIn(peer().Received_, Run) == 0);
    peer().write(std::string(1, Byte));
    settle();
  }
  REQUIRE(awaitBytes(Run));
  for (auto const Byte : answer("200 OK", "process p2")) {
    peer().write(std::string(1, Byte));
    settle();
  }
  REQUIRE(awaitAnswer(*Observer));
  CHECK(Observer->Body_ == "process p2");
  CHECK_FALSE(Observer->OtherProcess_);
}

TEST_CASE_METHOD(Fixture, "Cancelling a call during the question closes its "
                          "connection") {
  auto const Observer = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  Call_->cancel();
  peer().write(identification("p1"));
  REQUIRE(runUntil(Context_, [&] { return peer().IsClosed_; }));
  settle();
  CHECK_FALSE(Observer->isOver());
  CHECK_FALSE(Observer->OtherProcess_);
  CHECK(countIn(peer().Received_, Run) == 0);
  CHECK(Server_.Peers_.size() == 1);
}

TEST_CASE_METHOD(Fixture, "A late answer on a reused connection is not taken "
                          "for an answer to the question") {
  auto const First = sendFor(std::nullopt);
  REQUIRE(awaitBytes(Run));
  peer().write(Plain);
  REQUIRE(runUntil(Context_, [&] { return First->isOver(); }));
  auto const Second = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  peer().write(Plain);
  REQUIRE(awaitBytes(Question, 2));
  CHECK(countIn(Server_.Peers_.front()->Received_, Run) == 1);
  peer().write(identification("p1"));
  REQUIRE(awaitBytes(Run, 2));
  peer().write(Plain);
  CHECK(runUntil(Context_, [&] { return Second->IsComplete_; }));
}

TEST_CASE_METHOD(Fixture, "A server that cannot identify itself now does not "
                          "get the request, and is asked again") {
  auto const *const Status =
      GENERATE("429 Too Many Requests", "500 Error", "503 Service Unavailable");
  auto const First = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  peer().write(answer(Status, ""));
  REQUIRE(runUntil(Context_, [&] { return First->isOver(); }));
  REQUIRE(First->Evidence_);
  CHECK(runStateOf(*First->Evidence_) == RunState::NotRun);
  CHECK(countIn(peer().Received_, Run) == 0);
  auto const Second = sendFor("p1");
  CHECK(awaitBytes(Question, 2));
}

TEST_CASE_METHOD(Fixture, "A request for a known process is not sent to one "
                          "that does not identify itself") {
  Check_ = ProcessCheck::Required;
  auto const First = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  peer().write(answer("404 Not Found", ""));
  checkNotRun(*First);
  CHECK(First->IsUnidentified_);
  // The server is asked again, as it may identify itself by now.
  auto const Second = sendFor("p1");
  REQUIRE(awaitBytes(Question, 2));
  SECTION("it does not") {
    peer().write(answer("200 OK", "nothing"));
    checkNotRun(*Second);
  }
  SECTION("it does") {
    peer().write(identification("p1"));
    REQUIRE(awaitBytes(Run, 2));
    peer().write(Plain);
    CHECK(awaitAnswer(*Second));
    CHECK_FALSE(Second->IsUnidentified_);
  }
}

TEST_CASE_METHOD(Fixture, "A request for a known process is not sent where the "
                          "list does not tell which it is") {
  Check_ = ProcessCheck::Required;
  auto const Observer = sendFor(std::nullopt);
  checkNotRun(*Observer);
  CHECK(Observer->IsUnidentified_);
}
