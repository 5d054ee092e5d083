#include <LibTraffic/PeerFields.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace laburnum;

TEST_CASE("Any origin survives the way to a peer, as printable text") {
  CHECK(rc::check([](std::string const &Version) {
    auto const Name = *rc::gen::nonEmpty<std::string>();
    StreamOrigin const Origin{ServiceName(Name), Version};
    HeaderFields Fields;
    setPeerFields(Fields, Origin);
    RC_ASSERT(Fields.all().size() == 1U);
    for (char const Character : Fields.all().front().Value_)
      RC_ASSERT(Character > ' ' && Character < '\x7f');
    RC_ASSERT(peerFields(Fields) ==
              (PeerState{PeerFieldSupport::Full, Origin}));
  }));
}

TEST_CASE("A peer without an origin still shows that it reads peer fields") {
  HeaderFields Fields;
  CHECK(peerFields(Fields).Support_ == PeerFieldSupport::None);
  setPeerFields(Fields, std::nullopt);
  CHECK(peerFields(Fields) == PeerState{PeerFieldSupport::Full, std::nullopt});
  removePeerFields(Fields);
  CHECK(Fields.all().empty());
}

TEST_CASE("A malformed origin counts as absent") {
  auto const Value = GENERATE("desk", "/v1", "desk/%", "desk/%4", "desk/%zz",
                              "desk/a b", "de/sk/v1");
  HeaderFields Fields;
  Fields.add("Laburnum-Stream-Origin", Value);
  CHECK_FALSE(peerFields(Fields).Origin_);
}
