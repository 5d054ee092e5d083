#include <LibCallers/TokenPipe.h>

#include <catch2/catch.hpp>

#include <future>

using namespace laburnum;

TEST_CASE("Items come out in the order in which they went in") {
  TokenPipe Pipe(2);
  CHECK(Pipe.push(StreamToken{0, "a"}) == Continue::Yes);
  CHECK(Pipe.push(StreamComplete{}) == Continue::Yes);
  CHECK(Pipe.pop() == StreamItem(StreamToken{0, "a"}));
  CHECK(Pipe.pop() == StreamItem(StreamComplete{}));
}

TEST_CASE("A full pipe holds the writer back until the reader takes one") {
  TokenPipe Pipe(1);
  Pipe.push(StreamToken{0, "a"});
  auto Second = std::async(std::launch::async, [&] {
    return Pipe.push(StreamToken{1, "b"});
  });
  CHECK(Pipe.pop() == StreamItem(StreamToken{0, "a"}));
  CHECK(Second.get() == Continue::Yes);
}

TEST_CASE("A writer whose reader has gone is told to stop") {
  TokenPipe Pipe(1);
  Pipe.push(StreamToken{0, "a"});
  auto Second = std::async(std::launch::async, [&] {
    return Pipe.push(StreamToken{1, "b"});
  });
  Pipe.release(Delivery::Broken);
  CHECK(Second.get() == Continue::No);
}
