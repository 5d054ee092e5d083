#include "OutboundFixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace laburnum;
using test::OutboundFixture;
using test::Plain;
using test::runUntil;

TEST_CASE_METHOD(OutboundFixture, "A clean connection is reused") {
  CHECK(exchange(Plain)->IsComplete_);
  auto const Second = send();
  await(2);
  Server_.Peers_.back()->write(Plain);
  CHECK(runUntil(Context_, [&] { return Second->IsComplete_; }));
  CHECK(Pool_->counts() == PoolCounts{1, 1});
}

TEST_CASE_METHOD(OutboundFixture,
                 "A connection that is not clean is not reused") {
  auto const *const Answer = GENERATE(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\n"
      "okHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: "
      "timeout=0\r\n\r\nok");
  auto const First = exchange(Answer);
  CHECK(First->IsComplete_);
  CHECK(First->Body_ == "ok");
  send();
  CHECK(runUntil(Context_, [&] { return Server_.Peers_.size() == 2; }));
  CHECK(Pool_->counts().Reused_ == 0);
}

TEST_CASE_METHOD(OutboundFixture, "Bytes on an idle connection end it") {
  // The timeout is longer than the test, so that it cannot close the
  // connection.
  CHECK(exchange("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3600\r\n"
                 "Content-Length: 2\r\n\r\nok")
            ->IsComplete_);
  Server_.Peers_.back()->write("HTTP/1.1 200 OK\r\n");
  REQUIRE(runUntil(Context_, [&] { return Server_.Peers_.back()->IsClosed_; }));
  send();
  CHECK(runUntil(Context_, [&] { return Server_.Peers_.size() == 2; }));
}

TEST_CASE_METHOD(OutboundFixture, "An answer to another request is skipped") {
  auto const Answer =
      exchange("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
               "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nright");
  CHECK(Answer->IsComplete_);
  CHECK(Answer->Body_ == "right");
}

TEST_CASE_METHOD(OutboundFixture,
                 "An answer without length is whole only after an "
                 "orderly close") {
  auto const Answer = send();
  await(1);
  Server_.Peers_.back()->write("HTTP/1.1 200 OK\r\n\r\nabc");
  REQUIRE(runUntil(Context_, [&] { return Answer->Body_ == "abc"; }));
  SECTION("orderly") {
    Server_.Peers_.back()->close();
    CHECK(runUntil(Context_, [&] { return Answer->IsComplete_; }));
  }
  SECTION("reset") {
    Server_.Peers_.back()->reset();
    REQUIRE(runUntil(Context_, [&] { return Answer->Evidence_.has_value(); }));
    CHECK(Answer->Evidence_->Progress_ == AttemptProgress::AnswerBegun);
  }
}

TEST_CASE_METHOD(OutboundFixture,
                 "A close before the answer leaves it open whether "
                 "the request ran") {
  auto const Answer = send();
  await(1);
  Server_.Peers_.back()->close();
  REQUIRE(runUntil(Context_, [&] { return Answer->Evidence_.has_value(); }));
  CHECK(Answer->Evidence_->Progress_ == AttemptProgress::RequestSent);
}

TEST_CASE_METHOD(OutboundFixture,
                 "A refused connection means that nothing was sent") {
  Server_.Acceptor_.close();
  auto const Answer = send();
  REQUIRE(runUntil(Context_, [&] { return Answer->Evidence_.has_value(); }));
  CHECK(Answer->Evidence_->Progress_ == AttemptProgress::NotConnected);
}

TEST_CASE_METHOD(OutboundFixture, "Cancelling a call closes its connection") {
  auto const Answer = send();
  await(1);
  Call_->cancel();
  CHECK(runUntil(Context_, [&] { return Server_.Peers_.back()->IsClosed_; }));
  CHECK_FALSE(Answer->isOver());
}

/// A faulty server may send invalid bytes without end: the client must close
/// the connection and must not buffer them without limit.
TEST_CASE_METHOD(OutboundFixture, "Endless answers are cut off") {
  std::string const Ok = "HTTP/1.1 200 OK\r\n";
  auto const [Start, Piece] = GENERATE_COPY(table<std::string, std::string>({
      {"", "xxxxxxxxxxxxxxxx"},
      {Ok, "Field: value\r\n"},
      {Ok + "Field: ", "xxxxxxxxxxxxxxxx"},
      {Ok + "\r\n", "xxxxxxxxxxxxxxxx"},
      {Ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
      {Ok + "Transfer-Encoding: chunked\r\n\r\n4;", "xxxxxxxxxxxxxxxx"},
      {Ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", Ok + "Id: other\r\nContent-Length: 2\r\n\r\nxx"},
      {Ok + "Id: other\r\n\r\n", "xxxxxxxxxxxxxxxx"},
  }));
  CAPTURE(Start, Piece);
  std::string Block;
  while (Block.size() < (1U << 16))
    Block += Piece;
  auto const Answer = send();
  await(1);
  auto &Peer = *Server_.Peers_.back();
  Peer.write(Start);
  // Far above the limit on a body plus the size of the socket buffers.
  constexpr std::size_t MaxBytes = std::size_t{32} << 20;
  std::size_t Sent = 0;
  for (; Sent < MaxBytes && !Answer->isOver(); Sent += Block.size()) {
    Peer.write(Block);
    Context_.restart();
    Context_.poll();
  }
  CHECK(Sent < MaxBytes);
  REQUIRE(Answer->Evidence_);
  CHECK(Answer->Body_.size() <= MessageBounds().BodyBytes_);
  CHECK(runUntil(Context_, [&] { return Peer.IsClosed_; }));
}
