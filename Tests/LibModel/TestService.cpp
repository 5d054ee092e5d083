#include <LibModel/Service.h>

#include <catch2/catch.hpp>

using namespace laburnum;

TEST_CASE("Non-idempotent calls are found by method and path prefix") {
  Service Desk;
  Desk.NonIdempotentCalls_ = {{"POST", "/fees"}, {"", "/orders"}};

  CHECK(isNonIdempotent(Desk, "POST", "/fees/17"));
  CHECK_FALSE(isNonIdempotent(Desk, "PUT", "/fees/17"));
  CHECK(isNonIdempotent(Desk, "PUT", "/orders/3"));
  CHECK_FALSE(isNonIdempotent(Desk, "GET", "/orders/3"));
  CHECK_FALSE(isNonIdempotent(Desk, "POST", "/status"));

  Desk.Kind_ = ServiceKind::Model;
  CHECK_FALSE(isNonIdempotent(Desk, "POST", "/fees/17"));
}
