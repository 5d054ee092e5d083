#include <LibTraffic/ContentFingerprint.h>

#include <catch2/catch.hpp>

#include <set>

using namespace laburnum;

namespace {

ReceivedRequest request(std::string const &Method, std::string const &Target,
                        std::string const &Body) {
  ReceivedRequest Made;
  Made.Head_.Method_ = Method;
  Made.Head_.Target_ = Target;
  Made.Head_.Fields_.add("Host", "desk.example");
  Made.Body_ = Body;
  return Made;
}

} // namespace

TEST_CASE("Attempts at the same content have the same fingerprint") {
  auto First = request("POST", "/order/1", "two pallets");
  auto Second = First;
  First.Head_.Fields_.add("X-Attempt-Id", "one");
  Second.Head_.Fields_.add("X-Attempt-Id", "two");
  Second.BegunAt_ = First.BegunAt_ + std::chrono::seconds(1);
  AccountName const Account("a");
  CHECK(contentFingerprint(Account, First) ==
        contentFingerprint(Account, Second));
}

TEST_CASE("Account, method, path and body each change the fingerprint") {
  AccountName const Account("a");
  std::set<std::uint64_t> const Seen{
      contentFingerprint(Account, request("POST", "/order/1", "two")),
      contentFingerprint(AccountName("b"), request("POST", "/order/1", "two")),
      contentFingerprint(Account, request("PUT", "/order/1", "two")),
      contentFingerprint(Account, request("POST", "/order/2", "two")),
      contentFingerprint(Account, request("POST", "/order/1", "three")),
      contentFingerprint(Account, request("POST", "/order/", "1two"))};
  CHECK(Seen.size() == 6);
}

TEST_CASE(
    "Each part of a prompt has one fingerprint, apart from the content's") {
  AccountName const Account("a");
  RequestMetadata Metadata;
  Metadata.SharedParts_ = {"5c", "91", "5c"};
  auto const Ours =
      requestFingerprints(Account, request("POST", "/p", "one"), Metadata);
  CHECK(Ours.Content_ ==
        contentFingerprint(Account, request("POST", "/p", "one")));
  REQUIRE(Ours.Parts_.size() == 2);
  CHECK(Ours.Parts_[0] != Ours.Parts_[1]);
  Metadata.SharedParts_ = {"91"};
  auto const Theirs = requestFingerprints(
      AccountName("b"), request("PUT", "/q", "two"), Metadata);
  CHECK(Theirs.Parts_ == std::vector<std::uint64_t>{Ours.Parts_[1]});
}
