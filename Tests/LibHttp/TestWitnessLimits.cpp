// Where the proof that a process has outlived its answer could be wrong or
// missing.

#include "IdentificationFixture.h"

#include <LibHttp/AnswerWitness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

using namespace laburnum;
using namespace laburnum::test;

namespace {

std::string const Unframed = "HTTP/1.1 200 OK\r\n\r\nwhole";

/// A server whose answers end with their connections.
struct Fixture : IdentificationFixture {
  Fixture() { Check_ = ProcessCheck::AtEndOfConnection; }

  std::shared_ptr<AnswerRecorder> send() {
    auto Observer = sendFor("p1");
    REQUIRE(awaitBytes(Run));
    return Observer;
  }
  /// Begins an answer whose server does not identify itself; the witness is
  /// connected.
  std::shared_ptr<AnswerRecorder> beginAnswer() {
    auto Observer = send();
    peer().write(Unframed);
    REQUIRE(runUntil(Context_, [&] { return Server_.Peers_.size() == 2; }));
    settle();
    return Observer;
  }
  /// Lets all connections answer each question so, until the call is over.
  void answerQuestions(AnswerRecorder const &Observer,
                       std::vector<std::string> const &Answers,
                       bool Closes = false) {
    answerQuestionsUntil([&] { return Observer.isOver(); }, Answers, Closes);
  }
  void answerQuestionsUntil(std::function<bool()> const &Until,
                            std::vector<std::string> const &Answers,
                            bool Closes = false) {
    std::size_t Given = 0;
    REQUIRE(runUntil(Context_, [&] {
      for (auto const &Peer : Server_.Peers_)
        while (Answered_[Peer.get()] < countIn(Peer->Received_, Question)) {
          ++Answered_[Peer.get()];
          Peer->write(Answers[std::min(Given++, Answers.size() - 1)]);
          if (Closes)
            Peer->close();
        }
      return Until();
    }));
  }

  std::map<RawPeer *, std::size_t> Answered_;
};

} // namespace

TEST_CASE_METHOD(Fixture, "A connection that begins after the answer's end "
                          "proves nothing of its process") {
  auto const Answer = send();
  // Both wait to be read, as after a pause of this instance.
  peer().write(Unframed);
  peer().close();
  SECTION("another process that identifies itself") {
    answerQuestions(*Answer, {identification("p2")});
  }
  SECTION("a process that does not identify itself, for the second time") {
    std::vector<std::string> const Silent = {answer("404 Not Found", "")};
    answerQuestions(*Answer, Silent);
    // The first end can't be told from a sound one.
    CHECK(Answer->IsComplete_);
    auto const Second = sendFor("p1");
    auto const Running = [&] {
      return std::find_if(
          Server_.Peers_.begin() + 1, Server_.Peers_.end(),
          [](auto const &Peer) { return countIn(Peer->Received_, Run) > 0; });
    };
    answerQuestionsUntil([&] { return Running() != Server_.Peers_.end(); },
                         Silent);
    (*Running())->write(Unframed);
    for (auto const &Peer : Server_.Peers_)
      Peer->close();
    answerQuestions(*Second, Silent);
    CHECK_FALSE(Second->IsComplete_);
    return;
  }
  CHECK_FALSE(Answer->IsComplete_);
}

TEST_CASE_METHOD(Fixture, "A late answer to an earlier request proves nothing "
                          "of its process") {
  auto const Answer = send();
  auto const Other = sendFor("p1");
  REQUIRE(awaitBytes(Run, 2));
  auto &Idle = peer();
  Idle.write(answer("200 OK", "ok"));
  REQUIRE(awaitAnswer(*Other));
  auto &First = *Server_.Peers_.front();
  First.write(Unframed);
  // The idle connection might bring one, so that another is opened.
  REQUIRE(runUntil(Context_, [&] { return Server_.Peers_.size() == 3; }));
  settle();
  First.close();
  REQUIRE(awaitBytes(Question, 3));
  // The killed process had sent it before; it was held up on the way.
  Idle.write(answer("200 OK", "ok"));
  Idle.close();
  peer().close();
  Server_.Acceptor_.close();
  REQUIRE(runUntil(Context_, [&] { return Answer->isOver(); }));
  CHECK_FALSE(Answer->IsComplete_);
  CHECK(countIn(Idle.Received_, Question) == 0);
}

TEST_CASE_METHOD(Fixture, "A server none of whose answers has a length is "
                          "believed while it runs") {
  auto const Answer = beginAnswer();
  Server_.Peers_.front()->close();
  answerQuestions(*Answer, {"HTTP/1.1 404 Not Found\r\n\r\nno"}, true);
  CHECK(Answer->IsComplete_);
}

TEST_CASE_METHOD(Fixture,
                 "A server that ends a connection without a request is "
                 "believed "
                 "while it runs") {
  auto const Answer = beginAnswer();
  // The answer takes longer than the server's timeout, or the server is at its
  // limit of connections.
  bool const IsAtLimit = GENERATE(false, true);
  IsAtLimit ? peer().reset() : peer().close();
  settle();
  settle();
  if (!IsAtLimit)
    passTime(AnswerWitness::Simultaneous);
  Server_.Peers_.front()->close();
  answerQuestions(*Answer, {answer("404 Not Found", "")});
  CHECK(Answer->IsComplete_);
}

TEST_CASE_METHOD(Fixture,
                 "A server that is too busy to identify itself once is "
                 "asked again") {
  Check_ = ProcessCheck::BeforeRequest;
  auto const Answer = sendFor("p1");
  REQUIRE(awaitBytes(Question));
  peer().write(identification("p1"));
  REQUIRE(awaitBytes(Run));
  peer().write(Unframed);
  REQUIRE(runUntil(Context_, [&] { return Answer->Body_ == "whole"; }));
  peer().close();
  Server_.Peers_.front()->Received_.clear();
  answerQuestions(*Answer, {answer("503 -", "busy"), identification("p1")});
  CHECK(Answer->IsComplete_);
}

TEST_CASE_METHOD(Fixture, "The listed process proves nothing of one that it "
                          "has replaced") {
  auto const Answer = beginAnswer();
  // The list was ahead of the address: the process that answered is killed.
  Server_.Peers_.front()->close();
  peer().close();
  answerQuestions(*Answer, {identification("p1")});
  CHECK_FALSE(Answer->IsComplete_);
}
