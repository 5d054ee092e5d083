#include "IdentificationFixture.h"

using namespace laburnum;
using namespace laburnum::test;

namespace {

constexpr char const *Upload = "POST /run ";

/// A server that answers uploads before it has read them, without a length.
struct Fixture : IdentificationFixture {
  /// Begins an upload and the first part of its answer.
  std::shared_ptr<AnswerRecorder> beginAnswer(std::size_t BodyBytes) {
    auto Observer = std::make_shared<AnswerRecorder>();
    OutboundRequest Request;
    Request.Head_ = {"POST", "/run", {}};
    Request.Body_ = std::string(BodyBytes, 'x');
    Request.Process_ = "p1";
    Request.ProcessCheck_ = ProcessCheck::BeforeRequest;
    Call_ = Pool_->start(Request, Observer);
    REQUIRE(awaitBytes(Question));
    peer().write(identification("p1"));
    REQUIRE(awaitBytes(Upload));
    answering().stopReading();
    answering().write("HTTP/1.1 200 OK\r\n\r\npart");
    REQUIRE(runUntil(Context_, [&] {
      return Observer->Body_ == "part" && Server_.Peers_.size() == 2;
    }));
    return Observer;
  }
  RawPeer &answering() { return *Server_.Peers_.front(); }
  /// Lets the server say that it is the same process, if it is asked.
  void identifyIfAsked(AnswerRecorder const &Observer) {
    REQUIRE(runUntil(Context_, [&] {
      return Observer.isOver() || countIn(peer().Received_, Question) == 1;
    }));
    if (!Observer.isOver())
      peer().write(identification("p1"));
  }
  void checkBroken(AnswerRecorder const &Observer) {
    REQUIRE(runUntil(Context_, [&] { return Observer.isOver(); }));
    CHECK_FALSE(Observer.IsComplete_);
    REQUIRE(Observer.Evidence_);
    CHECK(runStateOf(*Observer.Evidence_) == RunState::MayHaveRun);
  }

  /// More than the kernel takes.
  static constexpr std::size_t LongUpload = std::size_t{32} << 20;
  static constexpr std::size_t ShortUpload = std::size_t{64} << 10;
};

} // namespace

// Guards against a part of an answer that a client gets as the complete one.
TEST_CASE_METHOD(Fixture, "An answer without a length that ends while its "
                          "upload is being written is not whole") {
  auto const Answer = beginAnswer(LongUpload);
  SECTION("the server resets the connection") { answering().reset(); }
  SECTION("the server closes its side first") {
    answering().closeSending();
    identifyIfAsked(*Answer);
  }
  SECTION("the server closes the connection") { answering().close(); }
  checkBroken(*Answer);
}

TEST_CASE_METHOD(Fixture, "An answer without a length is not whole if its "
                          "connection is reset after the server has closed its "
                          "side") {
  auto const Answer = beginAnswer(ShortUpload);
  answering().closeSending();
  REQUIRE(runUntil(Context_, [&] {
    return Answer->isOver() || countIn(peer().Received_, Question) == 1;
  }));
  answering().reset();
  settle();
  identifyIfAsked(*Answer);
  checkBroken(*Answer);
}

TEST_CASE_METHOD(Fixture, "An answer without a length to an upload that its "
                          "server has taken is whole") {
  auto Observer = std::make_shared<AnswerRecorder>();
  OutboundRequest Request;
  Request.Head_ = {"POST", "/run", {}};
  Request.Body_ = std::string(ShortUpload, 'x');
  Request.Process_ = "p1";
  Call_ = Pool_->start(Request, Observer);
  REQUIRE(awaitBytes(Question));
  peer().write(identification("p1"));
  REQUIRE(runUntil(Context_,
                   [&] { return answering().Received_.size() > ShortUpload; }));
  answering().write("HTTP/1.1 200 OK\r\n\r\nwhole");
  answering().close();
  REQUIRE(awaitBytes(Question, 2));
  identifyIfAsked(*Observer);
  CHECK(awaitAnswer(*Observer));
  CHECK(Observer->Body_ == "whole");
}
