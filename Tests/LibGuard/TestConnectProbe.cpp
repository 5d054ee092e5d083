#include <LibGuard/ConnectProbe.h>

#include <catch2/catch.hpp>

#include <asio/ip/tcp.hpp>

#include <list>
#include <optional>

using namespace laburnum;

TEST_CASE("A probe distinguishes listening from closed ports") {
  asio::io_context Context(1);
  asio::ip::tcp::acceptor Acceptor(Context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  Endpoint const Address{"127.0.0.1", Acceptor.local_endpoint().port()};
  bool const Listens = GENERATE(true, false);
  if (!Listens)
    Acceptor.close();
  std::optional<ProbeAnswer> Answer;
  ConnectProbe::start(Context, Address, Duration::zero(),
                      std::chrono::seconds(10),
                      [&](ProbeAnswer Seen) { Answer = Seen; });
  Context.run();
  CHECK(Answer == (Listens ? ProbeAnswer::Accepted : ProbeAnswer::Refused));
}

TEST_CASE("A probe times out when nothing answers") {
  asio::io_context Context(1);
  // A full backlog leaves further connections without an answer.
  asio::ip::tcp::acceptor Acceptor(Context);
  Acceptor.open(asio::ip::tcp::v4());
  Acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
  Acceptor.listen(0);
  auto const Local = Acceptor.local_endpoint();
  std::list<asio::ip::tcp::socket> Others;
  for (int Each = 0; Each < 8; ++Each)
    Others.emplace_back(Context).async_connect(Local, [](asio::error_code) {});
  std::optional<ProbeAnswer> Answer;
  ConnectProbe::start(Context, {"127.0.0.1", Local.port()},
                      std::chrono::milliseconds(50),
                      std::chrono::milliseconds(100), [&](ProbeAnswer Seen) {
                        Answer = Seen;
                        Context.stop();
                      });
  Context.run();
  CHECK(Answer == ProbeAnswer::Silent);
}
