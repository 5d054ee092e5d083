#include <LibFleet/ChangeWriter.h>

#include <LibModel/JsonCodec.h>

#include "ScriptedStore.h"

#include <catch2/catch.hpp>

using namespace laburnum;
using test::ScriptedStore;
using test::WriteOutcome;

namespace {

constexpr Duration Timeout = std::chrono::seconds(1);
ObjectName const Chat = {ObjectKind::Service, "chat"};

Change change(std::string const &Id, std::optional<Version> Expected = {},
              std::int32_t Priority = 0) {
  Service Specified;
  Specified.Name_ = ServiceName("chat");
  Specified.Priority_ = Priority;
  return {ChangeKind::Apply,
          Chat,
          encodeJson(Specified),
          ChangeId(Id),
          Expected,
          "ada",
          1000};
}

struct Fixture {
  ScriptedStore Store_;
  ChangeWriter Writer_{Store_, Timeout};

  std::size_t entriesOf(std::string const &Id) {
    auto const Trail = valueOf(Writer_.auditTrail(Chat, 10000));
    return static_cast<std::size_t>(
        std::count_if(Trail.begin(), Trail.end(), [&](ChangeRecord const &One) {
          return One.Change_ == ChangeId(Id);
        }));
  }
  ErrorKind failure(Change const &Requested) {
    auto const Outcome = Writer_.apply(Requested);
    REQUIRE(isError(Outcome));
    CHECK(!errorOf(Outcome).Remedy_.empty());
    return errorOf(Outcome).Kind_;
  }
};

} // namespace

TEST_CASE_METHOD(Fixture, "A repeated change has one effect and one entry") {
  auto const First = Writer_.apply(change("c1", 0));
  auto const Again = Writer_.apply(change("c1", 0));
  REQUIRE(!isError(First));
  REQUIRE(!isError(Again));
  CHECK(valueOf(First).Repeated_ == Repeated::No);
  CHECK(valueOf(Again).Repeated_ == Repeated::Yes);
  CHECK(valueOf(First).Object_ == valueOf(Again).Object_);
  CHECK(entriesOf("c1") == 1);
}

TEST_CASE_METHOD(
    Fixture, "Of two racing operators one wins and the other gets a conflict") {
  REQUIRE(!isError(Writer_.apply(change("c0", 0))));
  Store_.BeforeWrite_ = [&] { Writer_.apply(change("c1", 1, 1)); };
  auto const Loser = Writer_.apply(change("c2", 1, 2));
  REQUIRE(isError(Loser));
  CHECK(errorOf(Loser).Kind_ == ErrorKind::Conflict);
  CHECK(errorOf(Loser).Message_.find("version 2") != std::string::npos);
  CHECK(entriesOf("c1") == 1);
  CHECK(entriesOf("c2") == 0);
}

TEST_CASE_METHOD(Fixture, "Without an expected version a race is retried") {
  Store_.BeforeWrite_ = [&] { Writer_.apply(change("c1")); };
  CHECK(!isError(Writer_.apply(change("c2"))));
  CHECK(entriesOf("c1") == 1);
  CHECK(entriesOf("c2") == 1);
}

TEST_CASE_METHOD(Fixture, "A lost answer is resolved by reading back") {
  Store_.Writes_ = {WriteOutcome::LostAnswer};
  auto const Outcome = Writer_.apply(change("c1", 0));
  REQUIRE(!isError(Outcome));
  CHECK(valueOf(Outcome).Object_.Version_ == 1);
  CHECK(entriesOf("c1") == 1);
}

TEST_CASE_METHOD(Fixture, "A stale read does not hide an accepted change") {
  REQUIRE(!isError(Writer_.apply(change("c0", 0))));
  Store_.Writes_ = {WriteOutcome::LostAnswer};
  Store_.BeforeWrite_ = [&] { Store_.StaleReads_ = 1; };
  auto const Outcome = Writer_.apply(change("c1", 1));
  REQUIRE(!isError(Outcome));
  CHECK(entriesOf("c1") == 1);

  Store_.StaleReads_ = 1;
  auto const Again = Writer_.apply(change("c1", 1));
  REQUIRE(!isError(Again));
  CHECK(valueOf(Again).Repeated_ == Repeated::Yes);
  CHECK(entriesOf("c1") == 1);
}

TEST_CASE_METHOD(Fixture, "Only stale reads leave the outcome unknown") {
  REQUIRE(!isError(Writer_.apply(change("c0", 0))));
  Store_.Writes_ = {WriteOutcome::LostAnswer};
  Store_.BeforeWrite_ = [&] { Store_.StaleReads_ = 100; };
  CHECK(failure(change("c1", 1)) == ErrorKind::OutcomeUnknown);
  CHECK(failure(change("c1", 1)) == ErrorKind::OutcomeUnknown);
  Store_.StaleReads_ = 0;
  CHECK(valueOf(Writer_.apply(change("c1", 1))).Repeated_ == Repeated::Yes);
}

TEST_CASE_METHOD(
    Fixture, "A delayed write reported as not applied takes no effect later") {
  auto const Replaced = GENERATE(Version(0), Version(1));
  if (Replaced == 1)
    REQUIRE(!isError(Writer_.apply(change("c0", 0))));
  Store_.Writes_ = {WriteOutcome::Delayed};
  CHECK(failure(change("c1", Replaced, 5)) == ErrorKind::Unavailable);
  Store_.deliverDelayedWrite();
  CHECK(entriesOf("c1") == 0);
  CHECK(!isError(Writer_.apply(change("c1", {}, 5))));
  CHECK(entriesOf("c1") == 1);
}

TEST_CASE_METHOD(
    Fixture, "An unresolved outcome is unknown, and the change repeatable") {
  REQUIRE(!isError(Writer_.apply(change("c0", 0))));
  Store_.Writes_ = {WriteOutcome::Delayed};
  Store_.Writes_.insert(Store_.Writes_.end(), 4, WriteOutcome::Unavailable);
  CHECK(failure(change("c1", 1)) == ErrorKind::OutcomeUnknown);
  Store_.deliverDelayedWrite();
  CHECK(valueOf(Writer_.apply(change("c1", 1))).Repeated_ == Repeated::Yes);
  CHECK(entriesOf("c1") == 1);
}

TEST_CASE_METHOD(Fixture, "An outage rejects a change without effect") {
  Store_.Writes_ = {WriteOutcome::Unavailable};
  CHECK(failure(change("c1", 0)) == ErrorKind::Unavailable);
  Store_.FailedReads_ = 1;
  CHECK(failure(change("c1", 0)) == ErrorKind::Unavailable);
  CHECK(entriesOf("c1") == 0);
}

TEST_CASE_METHOD(Fixture, "Each accepted change has exactly one entry") {
  for (int Each = 0; Each < 130; ++Each) {
    if (Each % 3 == 0)
      Store_.Writes_ = {WriteOutcome::LostAnswer, WriteOutcome::LostAnswer};
    REQUIRE(!isError(Writer_.apply(change("c" + std::to_string(Each)))));
    Store_.Writes_.clear();
  }
  for (int Each = 0; Each < 130; ++Each)
    CHECK(entriesOf("c" + std::to_string(Each)) == 1);
  auto const Newest = valueOf(Writer_.auditTrail(Chat, 1));
  REQUIRE(Newest.size() == 1);
  CHECK(Newest.front().Change_ == ChangeId("c129"));
  CHECK(valueOf(Writer_.apply(change("c0"))).Repeated_ == Repeated::Yes);
}

TEST_CASE_METHOD(Fixture, "Deleting leaves a tombstone that can be replaced") {
  Change Removal{ChangeKind::Delete, Chat, "", ChangeId("d"), {}, "ada", 0};
  CHECK(failure(Removal) == ErrorKind::NotFound);
  REQUIRE(!isError(Writer_.apply(change("c1", 0))));
  auto const Deleted = Writer_.apply(Removal);
  REQUIRE(!isError(Deleted));
  CHECK(valueOf(Deleted).Object_.IsDeleted_);
  CHECK(failure(change("c2", 0)) == ErrorKind::Conflict);
  auto const At = valueOf(Deleted).Object_.Version_;
  CHECK(!isError(Writer_.apply(change("c2", At))));
}

TEST_CASE_METHOD(Fixture, "A conflict carries the current version") {
  REQUIRE(!isError(Writer_.apply(change("c1", 0))));
  REQUIRE(!isError(Writer_.apply(change("c2", 1))));
  auto const Refused = Writer_.apply(change("c3", 1));
  REQUIRE(std::holds_alternative<VersionConflict>(Refused));
  CHECK(std::get<VersionConflict>(Refused).CurrentVersion_ == 2);
  // The change identifier is checked before the expected version.
  CHECK(valueOf(Writer_.apply(change("c1", 0))).Repeated_ == Repeated::Yes);
}

TEST_CASE_METHOD(Fixture, "Whether a change was accepted can be queried") {
  REQUIRE(!isError(Writer_.apply(change("c1", 0))));
  auto const Known = Writer_.acceptedBefore(Chat, ChangeId("c1"), 1);
  REQUIRE(!isError(Known));
  CHECK(valueOf(Known).has_value());
  CHECK(valueOf(Writer_.acceptedBefore(Chat, ChangeId("c2"), 1)) ==
        std::nullopt);
  auto const Behind = Writer_.acceptedBefore(Chat, ChangeId("c2"), 2);
  REQUIRE(isError(Behind));
  CHECK(errorOf(Behind).Kind_ == ErrorKind::Unavailable);
}

TEST_CASE_METHOD(Fixture,
                 "An audit entry records the specification and the instance") {
  auto Requested = change("c1", 0, 7);
  Requested.Instance_ = InstanceId("entry-1");
  REQUIRE(!isError(Writer_.apply(Requested)));
  auto const Trail = valueOf(Writer_.auditTrail(Chat, 1));
  REQUIRE(Trail.size() == 1);
  CHECK(Trail.front().Specification_ == Requested.Specification_);
  CHECK(Trail.front().Instance_ == InstanceId("entry-1"));
}

TEST_CASE_METHOD(Fixture, "An audit entry holds no key of an account") {
  ClientAccount Account;
  Account.Name_ = AccountName("ada");
  Account.KeyDigest_ = keyDigest("secret");
  Account.KeyHint_ = "cret";
  ObjectName const Name{ObjectKind::Account, "ada"};
  Change const Requested{ChangeKind::Apply,
                         Name,
                         encodeJson(Account),
                         ChangeId("c1"),
                         0,
                         "ada",
                         0};
  REQUIRE(!isError(Writer_.apply(Requested)));
  auto const Trail = valueOf(Writer_.auditTrail(Name, 1));
  REQUIRE(Trail.size() == 1);
  auto const &Held = Trail.front().Specification_;
  CHECK(Held.find("cret") != std::string::npos);
  CHECK(Held.find(Account.KeyDigest_) == std::string::npos);
}

TEST_CASE_METHOD(Fixture, "A full object stays far below 1 MiB") {
  constexpr std::size_t Half = std::size_t(512) << 10;
  Service Specified;
  Specified.Name_ = ServiceName("chat");
  for (int Each = 0; Each < 1000; ++Each)
    Specified.NonIdempotentCalls_.push_back({"POST", std::string(200, 'a')});
  auto Requested = change("c");
  Requested.Specification_ = encodeJson(Specified);
  REQUIRE(Requested.Specification_.size() > 200000);
  for (int Each = 0; Each < 60; ++Each) {
    Requested.Id_ = ChangeId(std::to_string(Each) + std::string(250, 'i'));
    Requested.Operator_ = std::string(256, 'o');
    REQUIRE(!isError(Writer_.apply(Requested)));
    auto const Stored = Store_.get({"service", "chat"}, Timeout);
    REQUIRE(valueOf(Stored).Value_.size() < Half + Half / 2);
  }
}

TEST_CASE_METHOD(Fixture, "Malformed changes are rejected") {
  auto Bad = change("c1");
  Bad.Specification_ = "{}";
  CHECK(failure(Bad) == ErrorKind::InvalidArgument);
  Bad = change("");
  CHECK(failure(Bad) == ErrorKind::InvalidArgument);
  Bad = change("c1");
  Bad.Name_.Name_ = "other";
  CHECK(failure(Bad) == ErrorKind::InvalidArgument);
}
