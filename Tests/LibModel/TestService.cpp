#include <LibModel/Service.h>

#include <catch2/catch.hpp>

using namespace laburnum;

TEST_CASE("Non-idempotent calls are found by method and path prefix") {
  Service Counter;
  Counter.NonIdempotentCalls_ = {{"POST", "/fees"}, {"", "/orders"}};

  CHECK(isNonIdempotent(Counter, "POST", "/fees/17"));
  CHECK_FALSE(isNonIdempotent(Counter, "PUT", "/fees/17"));
  CHECK(isNonIdempotent(Counter, "PUT", "/orders/3"));
  CHECK_FALSE(isNonIdempotent(Counter, "GET", "/orders/3"));
  CHECK_FALSE(isNonIdempotent(Counter, "POST", "/status"));

  Counter.Kind_ = ServiceKind::Model;
  CHECK_FALSE(isNonIdempotent(Counter, "POST", "/fees/17"));
}
