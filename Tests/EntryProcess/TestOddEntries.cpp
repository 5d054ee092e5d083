#include "EntryFixture.h"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

constexpr std::size_t DeepNesting = 200000;

std::string nested(std::string const &Open, std::string const &Close) {
  std::string Text;
  for (std::size_t Level = 0; Level < DeepNesting; ++Level)
    Text += Open;
  Text += "1";
  for (std::size_t Level = 0; Level < DeepNesting; ++Level)
    Text += Close;
  return Text;
}

} // namespace

TEST_CASE_METHOD(EntryFixture,
                 "An odd entry among the servers neither ends an instance nor "
                 "hides the changes of others") {
  auto const Odd = GENERATE(
      nested("[", "]"), nested("{\"a\":", "}"), std::string("1e999"),
      std::string("-1e999"), std::string("123456789012345678901234567890"),
      std::string("\"\xff\xfe\x80\""), std::string("\"\\ud800\""),
      std::string("null"), std::string("\"]}{[\\\"\""));
  CAPTURE(Odd.substr(0, 40));
  bool const IsThereAtStart = GENERATE(false, true);
  on([&] {
    Store_.replaceInAnswers("odd", Odd);
    Store_.put("servers", "i-0", {{"service", "desk"}, {"slots", "odd"}});
  });
  if (IsThereAtStart)
    Instance_->start();
  writeServer("i-2", "ready");
  Instance_->process().awaitLine("server_changed server=i-2");
  writeServer("i-1", "draining");
  writeServer("i-3", "ready");
  Instance_->process().awaitLine("server_changed server=i-3");
  CHECK(send("POST", "/order/x").Status_ == 200);
}
