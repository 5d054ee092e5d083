#include "EntryFixture.h"

#include <catch2/catch.hpp>

#include <limits>
#include <vector>

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

/// Names that mean something else in a URL, a header field or a line.
std::vector<std::string> const Names = {
    "a00%20", "a01%", "a02&b=", "a03+", "a04%C3%A9", "a05\r\nb: c", "a06/b"};

/// The names that this system itself uses in its kinds.
std::vector<std::string> const OwnNames = {
    "peers",   "contents",     "windows", "controller",
    "history", "moved-routes", "desk",    "edge-a-1"};

std::vector<std::string> const OwnKinds = {
    "entry-instances", "entry-usage",   "entry-usage-settled",
    "entry-streams",   "entry-crashes", "entry-software-versions",
    "entry-rollouts",  "entry-secrets", "lease",
    "rollouts"};

/// Objects as this system writes them, but for one field each. "odd" stands for
/// what is put into the answers of the store.
nlohmann::json oddSpecifications() {
  constexpr auto Most = std::numeric_limits<std::int64_t>::max();
  auto const Entry = [](nlohmann::json Id, nlohmann::json Host,
                        nlohmann::json Port) {
    return nlohmann::json{{"id", std::move(Id)},
                          {"data_centre", "a-1"},
                          {"host", std::move(Host)},
                          {"port", std::move(Port)}};
  };
  auto const Crash = [](nlohmann::json Server, nlohmann::json At) {
    return nlohmann::json{{"crashes",
                           {{{"incident", 1},
                             {"content", 2},
                             {"server", std::move(Server)},
                             {"evidence", "crashed"},
                             {"at_ms", std::move(At)}}}}};
  };
  return {
      "odd",
      "",
      7,
      nlohmann::json::array({"odd", 1}),
      Entry("a05\r\nb: c", "127.0.0.1\r\n", 7500),
      Entry("a", "127.0.0.1", 70000),
      Entry("b", "", -1),
      Entry("c", "127.0.0.1", 1e300),
      Entry("", "::::", 0),
      Entry("odd", "odd", "odd"),
      {{"1", "odd"}},
      {{"a", {{"b", 1}}}},
      {{std::to_string(Most), {{"a", -1}}}, {"-1", {{"b\r\nc", 1e300}}}},
      {{"99999999999999999999", {{"a", 1}}}},
      {{"streams", {{"desk", {{"v1", {"a", 7}}}}}}, {"written_ms", 1}},
      {{"streams", {{"desk", {{"v1", {"a", "b"}}}}}}, {"written_ms", Most}},
      {{"streams", "odd"}, {"written_ms", "odd"}},
      Crash("i-1\r\n", Most),
      Crash("i-1", -Most),
      Crash(7, "odd"),
      {{"crashes", "odd"}},
      {{"services", {{"desk", {{"v1", Most}, {"v\r\n", -Most}}}}}},
      {{"services", {{"desk", "odd"}}}},
      {{"configuration", 1},
       {"regions", {{{"host", "odd"}, {"path_prefix", 7}, {"moved_ms", 1}}}}},
      {{"configuration", 18446744073709551615ULL},
       {"regions", {{{"host", "h"}, {"path_prefix", "/"}, {"moved_ms", Most}}}},
       {"unknown_ms", -Most}},
      {{"order", 1},
       {"service", "other"},
       {"version", "odd"},
       {"time_ms", Most},
       {"stage", "trial"},
       {"begun_ms", -Most}},
      {{"service", "desk"}, {"target", "v\r\n"}, {"duration_s", 1e300}},
      {{"service", "a00%20"}, {"target", "v1"}, {"duration_s", 30}},
      {{"service", "odd"}, {"target", 7}, {"duration_s", "odd"}},
      {{"holder", "edge-a-1\r\n"}, {"nonce", ""}},
      {{"holder", 7}, {"nonce", "odd"}}};
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

TEST_CASE_METHOD(EntryFixture,
                 "Odd objects in the kinds of this system end no instance") {
  std::vector<std::string> const Odds = {nested("[", "]"), "1e999",
                                         "\"\xff\xfe\x80\"", "\"\\ud800\""};
  Instance_->kill();
  auto const Specifications = oddSpecifications();
  on([&] {
    for (auto const &Kind : OwnKinds) {
      for (auto const &Name : Names)
        for (std::size_t Index = 0; Index < Specifications.size(); ++Index)
          Store_.put(Kind, Name + std::to_string(Index), Specifications[Index]);
    }
  });
  Instance_->addSettings("contracts=rollout\n");
  for (std::size_t Start = 0; Start < Specifications.size(); ++Start) {
    CAPTURE(Specifications[Start].dump());
    on([&] {
      Store_.replaceInAnswers("odd", Odds[Start % Odds.size()]);
      for (auto const &Kind : OwnKinds)
        for (auto const &Name : OwnNames)
          Store_.put(Kind, Name, Specifications[Start]);
    });
    Instance_->start();
    CHECK(send("GET", "/read/1").Status_ == 200);
    if (Start % 8 != 0)
      continue;
    Instance_->process().awaitLine("lease_gained");
    CHECK(send("POST", "/order/x").Status_ == 200);
    Instance_->process().awaitLine("step=reported");
    CHECK(Instance_->isReady());
  }
}
