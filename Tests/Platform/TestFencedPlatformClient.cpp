#include <FencedPlatformClient.h>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace laburnum;

// Guards against a peer's text that ends the process where it is written as
// JSON.
TEST_CASE("Names that are not UTF-8 do not keep duties from being sent") {
  asio::io_context Context;
  platform::FencedPlatformClient Client(Context, {"127.0.0.1", 1});
  bool IsAnswered = false;
  auto const Done = [&](Result<Success> const &) { IsAnswered = true; };
  constexpr std::chrono::seconds Timeout{5};
  SECTION("usage") {
    Client.reportUsage({"a", 1}, 1, {{AccountName("\xff"), 1}}, Timeout, Done);
  }
  SECTION("servers") {
    ServerOrder Order;
    Order.Service_ = ServiceName("\xff");
    Client.orderServers({"a", 1}, Order, Timeout, Done);
  }
  Context.run();
  CHECK(IsAnswered);
}
