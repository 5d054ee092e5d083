#include <LibPlatform/PlatformErrors.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

ErrorKind kindOf(PlatformReply const &Reply, PlatformCallEffect Effect) {
  auto const Failure = errorIn(Reply, Effect, "the call");
  REQUIRE(Failure);
  return Failure->Kind_;
}

ErrorKind kindOfWrite(PlatformReply const &Reply) {
  return kindOf(Reply, PlatformCallEffect::Writes);
}

ErrorKind kindOfRead(PlatformReply const &Reply) {
  return kindOf(Reply, PlatformCallEffect::ReadsOnly);
}

} // namespace

TEST_CASE("The outcome of a write is unknown unless the reply determines it") {
  TransportFailure const Unsent{SendProgress::NotSent, "refused"};
  TransportFailure const Sent{SendProgress::MayHaveBeenSent, "reset"};
  CHECK(kindOfWrite(Unsent) == ErrorKind::Unavailable);
  CHECK(kindOfWrite(Sent) == ErrorKind::OutcomeUnknown);
  CHECK(kindOfRead(Sent) == ErrorKind::Unavailable);
  CHECK(kindOfWrite(PlatformAnswer{503, {}}) == ErrorKind::Unavailable);
  CHECK(kindOfWrite(PlatformAnswer{429, {}}) == ErrorKind::ResourceExhausted);
  CHECK(kindOfWrite(PlatformAnswer{413, {}}) == ErrorKind::InvalidArgument);
  CHECK(kindOfWrite(PlatformAnswer{409, "?"}) == ErrorKind::Conflict);
  for (auto const Status : {202, 302, 500, 502, 504}) {
    CHECK(kindOfWrite(PlatformAnswer{Status, {}}) == ErrorKind::OutcomeUnknown);
    CHECK(kindOfRead(PlatformAnswer{Status, {}}) == ErrorKind::Unavailable);
  }
  CHECK_FALSE(errorIn(PlatformAnswer{200, {}}, PlatformCallEffect::Writes, ""));
  CHECK(malformedAnswer(PlatformCallEffect::Writes, "").Kind_ ==
        ErrorKind::OutcomeUnknown);
}
