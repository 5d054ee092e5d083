#include "EntryFixture.h"
#include "StandinRecords.h"
#include "StreamChecks.h"

#include <catch2/catch.hpp>

#include <set>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

/// Names that mean something else where a URL holds them without encoding.
std::vector<std::string> const Names = {
    "a00%20", "a01%",         "a02&b=", "a03+",        "a04%C3%A9", "a05 b",
    "a06/b",  "a07?after=z#", "a08;b",  "a09\xc3\xa9", "a10\"\\",   "a11%2F"};

/// Lists that end have far fewer pages.
constexpr std::size_t MaxPages = 200;

std::set<std::string> serversUsed(EntryFixture &Fixture) {
  return Fixture.on([&] {
    std::set<std::string> Used;
    for (auto const &Request : Fixture.Server_.Requests_)
      Used.emplace(Request.Head_.Fields_.valueOr("X-Expect-Instance"));
    return Used;
  });
}

/// Waits for the running instance's first list and returns its usable servers.
std::size_t serversListed(EntryFixture &Fixture) {
  return processes::portIn(
      Fixture.Instance_->process().awaitLine("servers_listed "), " servers=");
}

} // namespace

TEST_CASE_METHOD(EntryFixture,
                 "An instance becomes ready and uses all servers whatever "
                 "the names at which pages of the list end") {
  auto const PageSize = GENERATE(1U, 3U);
  for (auto const &Name : Names)
    writeServer(Name, "ready");
  on([&] { Store_.setPageSize(PageSize); });
  Instance_->launch();
  auto const PagesBefore = on([&] { return Store_.pagesRead("servers"); });
  bool const HasEnded = processes::await([&] {
    return Instance_->isReady() || on([&] {
                                     return Store_.pagesRead("servers");
                                   }) > PagesBefore + MaxPages;
  });
  REQUIRE(HasEnded);
  REQUIRE(Instance_->isReady());
  CHECK(serversListed(*this) == Names.size() + 1);
  constexpr int RequestsPerServer = 20;
  for (std::size_t Sent = 0; Sent < RequestsPerServer * Names.size(); ++Sent)
    CHECK(send("GET", "/read/1").Status_ == 200);
  auto Expected = std::set<std::string>(Names.begin(), Names.end());
  Expected.insert("i-1");
  CHECK(serversUsed(*this) == Expected);
}

TEST_CASE_METHOD(EntryFixture, "A server whose name cannot be sent in a "
                               "header is not used") {
  auto const Name =
      GENERATE(std::string("i-2\r\nX-Tenant: b"), std::string("i-2\n"),
               std::string(), std::string("i-2\0", 4));
  // The odd entry takes the place of the only one of its service, beside a
  // sound one of another.
  on([&] {
    auto Sound = Store_.object("servers", "i-1");
    Sound["service"] = "other";
    Store_.remove("servers", "i-1");
    Store_.put("servers", "i-3", Sound);
  });
  writeServer(Name, "ready");
  Instance_->start();
  CHECK(serversListed(*this) == 1);
  CHECK(send("GET", "/read/1").Status_ == 503);
  CHECK(requestsAtServer() == 0);
}

TEST_CASE("A stream whose identifier is not UTF-8 neither ends its instance "
          "nor is lost when another takes it up") {
  auto const Prefix = GENERATE(std::string("\xff\xfe-"), std::string("\xc3-"));
  VersionedFleet Fleet(2, VersionedFleet::Stop::Waits);
  for (std::string const Version : {"v1", "v2"})
    for (std::string const Number : {"-1", "-2"})
      Fleet.addServer(Version + Number, Version);
  Fleet.startInstances();
  auto Begun = beginStreams(Fleet, 0, Prefix);
  REQUIRE(processes::await([&] {
    return Fleet.onStore([&](StoreStandin &Store) {
      return Store.count("entry-streams") > 0;
    }) || !Fleet.instance(0).isReady();
  }));
  CHECK(Fleet.instance(0).isReady());
  for (auto &Client : Begun)
    Client.reset();
  CHECK(countTakenUp(Fleet, 1, Begun) == Streams);
}

TEST_CASE_METHOD(EntryFixture, "An account whose name cannot be sent in a "
                               "header runs no requests as another") {
  auto const Name =
      GENERATE(std::string("b\r\nX-Tenant: a"), std::string("a\r\n"),
               std::string(" a"), std::string("a\0", 2), std::string());
  auto Configuration = configurationJson(2);
  Configuration["tenants"].push_back({{"name", Name}, {"api_keys", {"k2"}}});
  on([&] { Store_.put("config", "main", Configuration); });
  Instance_->process().awaitLine("configuration_applied version=2");
  CHECK(send("GET", "/read/1", "k2").Status_ == 401);
  CHECK(requestsAtServer() == 0);
  CHECK(send("GET", "/read/1").Status_ == 200);
}

TEST_CASE_METHOD(EntryFixture, "An empty secret in the store does not keep an "
                               "instance from its peers") {
  Instance_->kill();
  on([&] { Store_.put("entry-secrets", "peers", ""); });
  Instance_->start();
  auto const HasSecret = [&] {
    return on([&] {
      return !Store_.object("entry-secrets", "peers")
                  .get<std::string>()
                  .empty();
    });
  };
  REQUIRE(processes::await([&] {
    return HasSecret() || Instance_->process().hasWritten("peers_unavailable");
  }));
  CHECK(HasSecret());
  EntryProcess Second(1, storePort());
  Second.start();
  CHECK_NOTHROW(Instance_->process().awaitLine("fleet_changed live=2 "));
  CHECK_NOTHROW(Second.process().awaitLine("fleet_changed live=2 "));
}
