#include "EntryFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace laburnum;
using namespace laburnum::entry_process;
using laburnum::processes::await;

TEST_CASE_METHOD(EntryFixture,
                 "A request is forwarded and its answer returned complete") {
  auto const Answer = send("GET", "/read/x");
  CHECK(Answer.Status_ == 200);
  CHECK(Answer.Body_ == "the whole answer");
  auto const Seen = on([this] { return Server_.Requests_.at(0); });
  CHECK(Seen.Head_.Target_ == "/read/x");
  CHECK(Seen.Head_.Fields_.valueOr("X-Expect-Instance") == "i-1");
  CHECK(Seen.Head_.Fields_.valueOr("X-Tenant") == "a");
  CHECK(Seen.Head_.Fields_.valueOr("X-Key").empty());
}

TEST_CASE_METHOD(EntryFixture, "Rejected requests reach no server") {
  CHECK(send("GET", "/elsewhere/").Status_ == 404);
  CHECK(send("GET", "/read/x", "unknown").Status_ == 401);
  CHECK(requestsAtServer() == 0);
}

TEST_CASE_METHOD(EntryFixture,
                 "Only requests that have not run are answered with 503") {
  auto const [Mode, Status, Sends] =
      GENERATE(table<ServerMode, int, std::size_t>(
          {{ServerMode::Overloaded, 503, 1},
           {ServerMode::Misdirected, 503, 1},
           {ServerMode::ResetsConnection, 502, 1},
           {ServerMode::Hanging, 504, 1}}));
  CAPTURE(static_cast<int>(Mode));
  on([this, Mode = Mode] { Server_.Mode_ = Mode; });
  auto const Answer = send("POST", "/order/x");
  CHECK(Answer.Status_ == Status);
  CHECK(Answer.RetryAfter_.empty() == (Status != 503));
  CHECK(requestsAtServer() == Sends);
}

TEST_CASE_METHOD(EntryFixture, "A draining server gets no requests, and "
                               "clients get Retry-After") {
  writeServer("i-1", "draining", 2);
  REQUIRE(await([this] { return send("GET", "/read/x").Status_ == 503; }));
  auto const Before = requestsAtServer();
  CHECK_FALSE(send("GET", "/read/x").RetryAfter_.empty());
  CHECK(requestsAtServer() == Before);
}

TEST_CASE_METHOD(EntryFixture, "A server that says in an answer that it is "
                               "leaving gets no more requests, even if listed "
                               "as ready") {
  on([this] { Server_.Mode_ = ServerMode::Leaving; });
  REQUIRE(send("GET", "/read/x").Status_ == 200);
  writeServer("i-1", "ready", 2);
  Instance_->process().awaitLine("server_changed server=i-1");
  CHECK(send("GET", "/read/x").Status_ == 503);
  CHECK(send("POST", "/order/x").Status_ == 503);
  CHECK(requestsAtServer() == 1);
}

TEST_CASE_METHOD(EntryFixture, "A server that requests a backoff gets no "
                               "requests, and clients get its Retry-After") {
  on([this] { Server_.Mode_ = ServerMode::RequestsBackoff; });
  REQUIRE(send("POST", "/order/x").Status_ == 503);
  for (int Sent = 0; Sent < 5; ++Sent) {
    auto const Answer = send("GET", "/read/x");
    CHECK(Answer.Status_ == 503);
    CHECK(std::stod(Answer.RetryAfter_) > 20.0);
  }
  CHECK(requestsAtServer() == 1);
}

TEST_CASE_METHOD(EntryFixture, "Requests are served during a store outage, "
                               "and changes apply after it") {
  on([this] { Store_.setMode(GENERATE(StoreMode::Silent, StoreMode::Busy)); });
  Instance_->process().awaitLine("dependency_lost what=store/servers");
  Instance_->process().awaitLine("dependency_lost what=store/configuration");
  CHECK(send("GET", "/read/x").Status_ == 200);
  CHECK(Instance_->isReady());
  writeConfiguration(2);
  CHECK(send("GET", "/new/x").Status_ == 404);
  on([this] {
    Store_.dropHistory();
    Store_.setMode(StoreMode::Normal);
  });
  Instance_->process().awaitLine("configuration_applied version=2");
  CHECK(send("GET", "/new/x").Status_ == 200);
}

TEST_CASE_METHOD(EntryFixture, "Settings that change are applied, with or "
                               "without a signal") {
  Instance_->writeSettings("0.1");
  SECTION("at a signal") {
    Instance_->process().signal(SIGHUP);
    Instance_->process().awaitLine(
        "reload trigger=signal outcome=\"in force\"");
  }
  SECTION("silently") {
    Instance_->process().awaitLine("reload trigger=file outcome=\"in force\"");
  }
  SECTION("to something that cannot be read") {
    Instance_->writeSettings("soon");
    Instance_->process().awaitLine("retry_budget_ratio");
  }
  CHECK(send("GET", "/read/x").Status_ == 200);
}

TEST_CASE_METHOD(EntryFixture, "A graceful shutdown takes the instance out of "
                               "rotation, serves on, and exits by itself") {
  Instance_->process().signal(SIGTERM);
  REQUIRE(await([this] { return !Instance_->isReady(); }));
  CHECK(send("GET", "/read/x").Status_ == 200);
  CHECK(Instance_->process().awaitEnd() == 0);
  Instance_->process().awaitLine("event=stopped");
  // Its record is removed from the store, so that no instance waits for it.
  CHECK(on([this] { return Store_.count("entry-instances"); }) == 0);
}

TEST_CASE_METHOD(EntryFixture, "Usage is reported even when the answer to "
                               "the lease's write is lost") {
  on([this] {
    Store_.setMode(GENERATE(StoreMode::Normal, StoreMode::LosesWrites));
  });
  REQUIRE(send("GET", "/read/x").Status_ == 200);
  on([this] { Store_.setMode(StoreMode::Normal); });
  CHECK(await([this] {
    return on([this] {
      auto const &Calls = Store_.platformApiCalls();
      return std::any_of(Calls.begin(), Calls.end(), [](auto const &Call) {
        return Call.starts_with("/usage ") &&
               Call.find(R"("counts":{"a":1})") != std::string::npos;
      });
    });
  }));
}
