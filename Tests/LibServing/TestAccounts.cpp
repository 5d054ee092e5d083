#include <LibModel/JsonCodec.h>
#include <LibServing/AccountLimiter.h>
#include <LibServing/Authenticator.h>
#include <LibServing/FlowFixture.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::test;

namespace {

ClientAccount account() {
  ClientAccount Made;
  Made.Name_ = AccountName("account");
  Made.KeyDigest_ = keyDigest("secret-key");
  Made.KeyHint_ = "-key";
  Made.Limits_ = {2.0, 100.0, 10};
  Made.Services_ = {ServiceName("allowed")};
  return Made;
}

} // namespace

TEST_CASE("A key identifies its account and permitted services") {
  auto const InForce = Configuration::create(
      {{{ObjectKind::Account, "account"}, 1, false, encodeJson(account())}});
  auto const KindOf = [&](std::string const &Field, std::string const &Name) {
    auto const Found = authenticate(Field, *InForce);
    if (isError(Found))
      return toString(errorOf(Found).Kind_);
    auto const Allowed = checkPermission(valueOf(Found), ServiceName(Name));
    return isError(Allowed) ? toString(errorOf(Allowed).Kind_)
                            : valueOf(Found).Name_.text();
  };
  CHECK(KindOf("Bearer secret-key", "allowed") == "account");
  CHECK(KindOf("bearer secret-key", "allowed") == "account");
  CHECK(KindOf("Bearer secret-key", "other") == "permission_denied");
  CHECK(KindOf("Bearer wrong-key", "allowed") == "unauthenticated");
  CHECK(KindOf("Basic secret-key", "allowed") == "unauthenticated");
  CHECK(KindOf("Bearer ", "allowed") == "unauthenticated");
  CHECK(KindOf("", "allowed") == "unauthenticated");
}

TEST_CASE("An account is limited to its request rate") {
  AccountLimiter Limiter;
  CHECK_FALSE(Limiter.admit(account(), 0, at(seconds(0))));
  CHECK_FALSE(Limiter.admit(account(), 0, at(seconds(0))));
  auto const Refusal = Limiter.admit(account(), 0, at(seconds(0)));
  REQUIRE(Refusal);
  CHECK(Refusal->Error_.Kind_ == ErrorKind::ResourceExhausted);
  CHECK(Refusal->RunState_ == RunState::NotRun);
  CHECK(Refusal->RetryAfter_ == Duration(milliseconds(500)));
  CHECK_FALSE(Limiter.admit(account(), 0, at(milliseconds(500))));
}

TEST_CASE("An account is charged for the requested tokens") {
  AccountLimiter Limiter;
  CHECK_FALSE(Limiter.admit(account(), 300, at(seconds(0))));
  auto const Refusal = Limiter.admit(account(), 1, at(seconds(1)));
  REQUIRE(Refusal);
  CHECK(Refusal->RetryAfter_ == Duration(milliseconds(1010)));
  CHECK_FALSE(Limiter.admit(account(), 0, at(seconds(1))));
  CHECK_FALSE(Limiter.admit(account(), 1, at(milliseconds(2010))));
}

TEST_CASE("An account is limited to its share of concurrent requests") {
  AccountLimiter Limiter;
  auto Account = account();
  Account.Limits_.RequestsPerSecond_ = 1000.0;
  Limiter.setShare(Account.Name_, 0.2);
  CHECK_FALSE(Limiter.admit(Account, 0, at(seconds(0))));
  CHECK_FALSE(Limiter.admit(Account, 0, at(seconds(0))));
  CHECK(Limiter.admit(Account, 0, at(seconds(0))));
  Limiter.release(Account.Name_);
  CHECK_FALSE(Limiter.admit(Account, 0, at(seconds(0))));
}
