#include <LibHttp/MessageReader.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

RequestReader readRequest(std::string_view Bytes, MessageBounds Bounds = {}) {
  RequestReader Reader(Bounds);
  Reader.feed(Bytes);
  return Reader;
}

AnswerReader readAnswer(std::string_view Bytes) {
  AnswerReader Reader({}, "POST");
  Reader.feed(Bytes);
  return Reader;
}

} // namespace

TEST_CASE("A request is parsed completely, also byte by byte") {
  std::string const Bytes = "POST /a/b?c HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
                            "Content-Length: 5\r\n\r\nhello";
  RequestReader Reader({});
  for (char const One : Bytes) {
    REQUIRE_FALSE(Reader.isDone());
    Reader.feed(std::string_view(&One, 1));
  }
  REQUIRE(Reader.isDone());
  CHECK(Reader.head().Method_ == "POST");
  CHECK(Reader.head().Target_ == "/a/b?c");
  CHECK(Reader.head().Fields_.valueOr("x-one") == "1");
  CHECK(Reader.takeBody() == "hello");
  CHECK(Reader.keepsAlive());
}

TEST_CASE("A chunked request is parsed and its trailers are dropped") {
  auto Reader = readRequest("POST / HTTP/1.1\r\nHost: h\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Key: k\r\n\r\n");
  REQUIRE(Reader.isDone());
  CHECK(Reader.takeBody() == "abcde");
  CHECK_FALSE(Reader.head().Fields_.find("X-Key"));
}

TEST_CASE("A request with ambiguous framing is malformed") {
  auto const *const Framing =
      GENERATE("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
               "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
               "Content-Length: 5\r\nContent-Length: 6\r\n",
               "Content-Length: 5\r\nContent-Length: 5\r\n",
               "Content-Length: +5\r\n", "Content-Length: 5, 5\r\n",
               "Content-Length : 5\r\n", "Transfer-Encoding: xchunked\r\n",
               "Transfer-Encoding: chunked, identity\r\n",
               "Transfer-Encoding: gzip, chunked\r\n",
               "Transfer-Encoding:\x0b chunked\r\n");
  CAPTURE(Framing);
  auto const Reader = readRequest(
      std::string("POST / HTTP/1.1\r\nHost: h\r\n") + Framing + "\r\nhello");
  CHECK(Reader.fault() == MessageFault::Malformed);
}

TEST_CASE("A request without one host, or of another version, is malformed") {
  CHECK(readRequest("GET / HTTP/1.1\r\n\r\n").fault() ==
        MessageFault::Malformed);
  CHECK(readRequest("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n").fault() ==
        MessageFault::Malformed);
  CHECK(readRequest("GET / HTTP/1.0\r\nHost: a\r\n\r\n").fault() ==
        MessageFault::Malformed);
  CHECK(readRequest("nonsense\r\n\r\n").fault() == MessageFault::Malformed);
}

TEST_CASE("The limits on head and body are enforced") {
  MessageBounds const Bounds{64, 4};
  CHECK(readRequest("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " +
                        std::string(100, 'x') + "\r\n\r\n",
                    Bounds)
            .fault() == MessageFault::HeadTooLarge);
  CHECK(readRequest("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n",
                    Bounds)
            .fault() == MessageFault::BodyTooLarge);
}

TEST_CASE("Bytes after a message are returned separately") {
  auto Reader = readRequest("GET /one HTTP/1.1\r\nHost: h\r\n\r\n"
                            "GET /two HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(Reader.isDone());
  CHECK(Reader.head().Target_ == "/one");
  CHECK(Reader.takeRest().starts_with("GET /two"));
}

TEST_CASE("An answer without a length ends with its connection") {
  auto Reader = readAnswer("HTTP/1.1 200 OK\r\n\r\nabc");
  CHECK_FALSE(Reader.isDone());
  CHECK(Reader.framing() == AnswerFraming::EndsWithConnection);
  Reader.endOfInput();
  CHECK(Reader.isDone());
  CHECK(Reader.takeBody() == "abc");
}

TEST_CASE("A truncated answer is detected") {
  auto const *const Bytes =
      GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc",
               "HTTP/1.1 200 OK\r\nContent-Le");
  auto Reader = readAnswer(Bytes);
  Reader.endOfInput();
  CHECK_FALSE(Reader.isDone());
  CHECK(Reader.fault() == MessageFault::Truncated);
}

TEST_CASE("An interim answer is replaced by the final one") {
  auto Reader = readAnswer("HTTP/1.1 100 Continue\r\n\r\n"
                           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(Reader.isDone());
  CHECK(Reader.head().Status_ == 200);
  CHECK(Reader.takeBody() == "ok");
}

// Guards against a server's broken status that a client gets, or that is taken
// for an interim answer, so that the final one is waited for.
TEST_CASE("An answer whose status HTTP does not have is malformed") {
  std::string const Status =
      GENERATE("000", "001", "099", "101", "600", "700", "999");
  auto const Reader =
      readAnswer("HTTP/1.1 " + Status + " Odd\r\nContent-Length: 2\r\n\r\nok");
  CHECK(Reader.fault() == MessageFault::Malformed);
  CHECK_FALSE(Reader.isDone());
}

TEST_CASE("An interim answer with a body is malformed") {
  std::string const Field =
      GENERATE("Content-Length: 5", "Transfer-Encoding: chunked");
  auto const Reader =
      readAnswer("HTTP/1.1 100 Continue\r\n" + Field + "\r\n\r\nwhole");
  CHECK(Reader.fault() == MessageFault::Malformed);
}

TEST_CASE("Hop-by-hop fields are removed") {
  HeaderFields Fields;
  for (auto const *Name : {"Connection", "Keep-Alive", "Transfer-Encoding",
                           "Upgrade", "TE", "X-Hop", "X-Stays"})
    Fields.add(Name, "v");
  Fields.set("Connection", "keep-alive, x-hop");
  Fields.removeHopByHop();
  REQUIRE(Fields.all().size() == 1);
  CHECK(Fields.all().front().Name_ == "X-Stays");
}
