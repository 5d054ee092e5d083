#include <LibControl/SettingsWatch.h>

#include <catch2/catch.hpp>

#include <optional>

using namespace laburnum;
using namespace laburnum::settings;

namespace {

struct Fixture {
  static EntrySettings before() {
    EntrySettings Settings;
    Settings.RetryRatio_ = 0.2;
    return Settings;
  }

  EntrySettings Now_ = before();
  std::optional<Error> ReadError_;
  SettingsWatch Watch_{Now_, [this]() -> Result<EntrySettings> {
                         if (ReadError_)
                           return *ReadError_;
                         return Now_;
                       }};
};

} // namespace

TEST_CASE_METHOD(Fixture, "Changed bounds are in force at once") {
  CHECK(std::holds_alternative<Unchanged>(Watch_.poll()));
  Now_.RetryRatio_ = 0.1;
  Now_.QuotaBurstTolerance_ = 70;
  auto const Outcome = Watch_.poll();
  REQUIRE(std::holds_alternative<Changed>(Outcome));
  CHECK(std::get<Changed>(Outcome).Settings_ == Now_);
  CHECK(std::get<Changed>(Outcome).Scope_ == ChangeScope::All);
  CHECK(std::holds_alternative<Unchanged>(Watch_.poll()));
}

TEST_CASE_METHOD(Fixture, "A changed address is in force after a restart") {
  Now_.Store_ = {"10.0.0.9", 80};
  Now_.RetryRatio_ = 0.1;
  auto const Outcome = Watch_.poll();
  REQUIRE(std::holds_alternative<Changed>(Outcome));
  CHECK(std::get<Changed>(Outcome).Scope_ == ChangeScope::Partial);
  CHECK(Watch_.inForce().Store_ == Endpoint{});
  CHECK(Watch_.inForce().RetryRatio_ == 0.1);
  CHECK(std::holds_alternative<Unchanged>(Watch_.poll()));
}

TEST_CASE_METHOD(Fixture,
                 "Unreadable settings change nothing and are reported once") {
  ReadError_ = Error{ErrorKind::NotFound, "cannot read it", "name another"};
  CHECK(std::holds_alternative<Unreadable>(Watch_.poll()));
  CHECK(std::holds_alternative<Unchanged>(Watch_.poll()));
  CHECK(Watch_.inForce().RetryRatio_ == 0.2);
  ReadError_.reset();
  CHECK(std::holds_alternative<Unchanged>(Watch_.poll()));
  ReadError_ = Error{ErrorKind::NotFound, "cannot read it", "name another"};
  CHECK(std::holds_alternative<Unreadable>(Watch_.poll()));
}
