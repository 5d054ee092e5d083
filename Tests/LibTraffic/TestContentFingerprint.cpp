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
