#include <LibFleet/OperatorExpectation.h>

#include <LibModel/JsonCodec.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

ObjectName const Name{ObjectKind::Account, "ada"};

ConfigurationObject held(Version At, bool IsDeleted) {
  ClientAccount Account;
  Account.Name_ = AccountName("ada");
  Account.KeyDigest_ = keyDigest("secret");
  Account.KeyHint_ = "cret";
  return {Name, At, IsDeleted, IsDeleted ? "" : encodeJson(Account)};
}

} // namespace

TEST_CASE("Expecting no object includes a deleted one") {
  CHECK(expectedVersion(0, std::nullopt) == 0);
  CHECK(expectedVersion(0, held(7, true)) == 7);
  CHECK(expectedVersion(0, held(7, false)) == 0);
  CHECK(expectedVersion(6, held(7, true)) == 6);
}

TEST_CASE("A key is retained only from the expected version") {
  CHECK(isNewer(held(8, false), 7));
  CHECK(!isNewer(held(7, false), 7));
  CHECK(!isNewer(held(7, true), 0));
  auto const Key = accountKeyAt(Name, 7, held(7, false));
  REQUIRE(!isError(Key));
  CHECK(valueOf(Key).Digest_ == keyDigest("secret"));
  CHECK(errorOf(accountKeyAt(Name, 8, held(7, false))).Kind_ ==
        ErrorKind::Unavailable);
  CHECK(errorOf(accountKeyAt(Name, 8, std::nullopt)).Kind_ ==
        ErrorKind::Unavailable);
  CHECK(errorOf(accountKeyAt(Name, 0, std::nullopt)).Kind_ ==
        ErrorKind::InvalidArgument);
}
