#include <LibCallers/StreamLog.h>

#include <catch2/catch.hpp>

#include <future>

using namespace laburnum;

namespace {

StreamToken token(std::uint32_t Offset,
                  std::vector<std::string> const &Tokens) {
  return {Offset, Tokens[Offset], digestOf(Tokens, Offset + 1)};
}

} // namespace

TEST_CASE("Each reader gets the tokens from its own offset and the end") {
  std::vector<std::string> const Tokens{"a", "b", "c"};
  StreamLog Log({"a"});
  CHECK(Log.push(1, "b") == Continue::Yes);
  CHECK(Log.push(2, "c") == Continue::Yes);
  Log.finish();
  REQUIRE(Log.attach(1, 1, std::nullopt));
  CHECK(Log.read(1, 1) == StreamItem(token(1, Tokens)));
  CHECK(Log.read(1, 2) == StreamItem(token(2, Tokens)));
  CHECK(Log.read(1, 3) == StreamItem(StreamComplete{}));
}

TEST_CASE("A token that is not the next one is rejected") {
  StreamLog Log({"a"});
  CHECK(Log.push(0, "a") == Continue::No);
  CHECK(Log.push(2, "c") == Continue::No);
}

TEST_CASE("A waiting reader gets the next token") {
  StreamLog Log({});
  REQUIRE(Log.attach(1, 0, std::nullopt));
  auto Next = std::async(std::launch::async, [&] { return Log.read(1, 0); });
  Log.push(0, "a");
  CHECK(Next.get() == StreamItem(token(0, {"a"})));
}

TEST_CASE(
    "A closed log accepts no token and blocks its reader until the move") {
  StreamLog Log({});
  REQUIRE(Log.attach(1, 0, std::nullopt));
  Log.close();
  CHECK(Log.push(0, "a") == Continue::No);
  Log.fail({{ErrorKind::DeadlineExceeded, "gone", ""}, {}, {}});
  auto Next = std::async(std::launch::async, [&] { return Log.read(1, 0); });
  Log.markMoved();
  CHECK(Next.get() == StreamItem(StreamMoved{}));
}

TEST_CASE("A new reader replaces the previous one") {
  StreamLog Log({});
  REQUIRE(Log.attach(1, 0, std::nullopt));
  auto Older = std::async(std::launch::async, [&] { return Log.read(1, 0); });
  REQUIRE(Log.attach(2, 0, std::nullopt));
  CHECK(Older.get() == StreamItem(StreamMoved{}));
  Log.push(0, "a");
  CHECK(Log.read(1, 0) == StreamItem(StreamMoved{}));
  CHECK(Log.read(2, 0) == StreamItem(token(0, {"a"})));
}

TEST_CASE("A reader with tokens of another run is not attached") {
  StreamLog Log({"a", "b"});
  CHECK(Log.attach(1, 2, digestOf({"a", "b"}, 2)));
  CHECK_FALSE(Log.attach(2, 2, digestOf({"x", "b"}, 2)));
  CHECK_FALSE(Log.attach(2, 3, std::nullopt));
}

TEST_CASE("A superseded stream ends with its failure") {
  StreamLog Log({"a"});
  FailureAnswer const Failure{{ErrorKind::Conflict, "taken", ""}, {}, {}};
  REQUIRE(Log.attach(1, 0, std::nullopt));
  Log.close();
  Log.supersede(Failure);
  CHECK(Log.read(1, 0) == StreamItem(token(0, {"a"})));
  CHECK(Log.read(1, 1) == StreamItem(Failure));
}
