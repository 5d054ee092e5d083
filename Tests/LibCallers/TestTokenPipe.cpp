#include <LibCallers/TokenPipe.h>

#include <catch2/catch.hpp>

#include <future>

using namespace laburnum;

TEST_CASE("Items are read in the order written") {
  TokenPipe Pipe(2);
  CHECK(Pipe.push(StreamToken{0, "a"}) == Continue::Yes);
  CHECK(Pipe.push(StreamComplete{}) == Continue::Yes);
  CHECK(Pipe.pop() == StreamItem(StreamToken{0, "a"}));
  CHECK(Pipe.pop() == StreamItem(StreamComplete{}));
}

TEST_CASE("A full pipe blocks the writer until the reader takes an item") {
  TokenPipe Pipe(1);
  Pipe.push(StreamToken{0, "a"});
  auto Second = std::async(std::launch::async, [&] {
    return Pipe.push(StreamToken{1, "b"});
  });
  CHECK(Pipe.pop() == StreamItem(StreamToken{0, "a"}));
  CHECK(Second.get() == Continue::Yes);
}

TEST_CASE("The writer stops when its reader has gone") {
  TokenPipe Pipe(1);
  Pipe.push(StreamToken{0, "a"});
  auto Second = std::async(std::launch::async, [&] {
    return Pipe.push(StreamToken{1, "b"});
  });
  Pipe.release(Delivery::Broken);
  CHECK(Second.get() == Continue::No);
}
