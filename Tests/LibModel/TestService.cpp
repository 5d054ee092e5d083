#include <LibModel/Service.h>

#include <catch2/catch.hpp>

using namespace laburnum;

TEST_CASE("Non-idempotent calls are found by method and path prefix") {
  Service Plain;
  Plain.NonIdempotentCalls_ = {{"POST", "/fees"}, {"", "/orders"}};

  CHECK(isNonIdempotent(Plain, "POST", "/fees/17"));
  CHECK_FALSE(isNonIdempotent(Plain, "PUT", "/fees/17"));
  CHECK(isNonIdempotent(Plain, "PUT", "/orders/3"));
  CHECK_FALSE(isNonIdempotent(Plain, "GET", "/orders/3"));
  CHECK_FALSE(isNonIdempotent(Plain, "POST", "/status"));

  Plain.Kind_ = ServiceKind::Model;
  CHECK_FALSE(isNonIdempotent(Plain, "POST", "/fees/17"));
}
