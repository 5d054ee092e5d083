#include <LibPeer/PeerCodec.h>

#include <catch2/catch.hpp>

using namespace laburnum;

static EntryInstance instance() {
  return {InstanceId("i1"),
          DataCentre("north"),
          {"127.0.0.1", 1},
          {"127.0.0.1", 2},
          {"127.0.0.1", 3}};
}

static std::vector<PeerMessage> examples() {
  MemberUpdate const Update{instance(), MemberState::Suspect, 3, 9,
                            0xffffffffffffffffU};
  ConfigurationObject const Object{
      {ObjectKind::Server, "s"}, 8, true, std::string("\0{}", 3)};
  StreamName const Stream{AccountName("a"), IdempotencyKey("k")};
  StreamEpoch const Epoch{RequestId("r"), 2, InstanceId("i1"), Duration(5)};
  StreamCheckpoint const Checkpoint{
      Stream, instance(),
      Epoch,  {ServiceName("s"), 7, "prompt", 9, -1, Duration(6)},
      0,      {"one", "two"},
      2,      StreamPhase::Complete};
  return {
      Hello{"secret", instance()},
      Heartbeat{HeartbeatKind::PingRequest, 7, InstanceId("x"), {Update}},
      ConfigurationDigest{4, 5, {"127.0.0.1", 6}},
      ConfigurationObjects{{Object}},
      ConfigurationRequest{{{{ObjectKind::Account, "a"}, 2}}, {}},
      ServerLeavingNotice{ServerId("s"), Liveness::Gone, Duration(-1), 4},
      CrashReports{
          {{1, 2, ServerId("s"), CrashEvidence::Cleared, Duration(3)}}},
      ServerReserved{ServerId("s"), 5, InstanceId("i1"),
                     ReservationState::Released, Duration(6)},
      DemandReport{{{AccountName("a"), 7, 8}}},
      ShareGrant{{{AccountName("a"), 250000}}, Duration(9)},
      Checkpoint,
      StreamQuery{Stream, 7, instance(), 3, StreamQueryMode::Adopt},
      StreamState{Stream, 3, StreamKnowledge::KeyReused, Epoch, instance(), 2},
      StreamHandOver{Checkpoint, 3},
      ConsumptionReport{{{AccountName("a"), 7, 9}},
                        {{ServiceName("s"), 1, 2, 3}},
                        {{340000000, AccountName("a"), 4}},
                        Duration(5)},
      StoreUpdate{InstanceId("i1"),
                  7,
                  Propagation::None,
                  {"127.0.0.1", 6},
                  {{"servers",
                    3,
                    9,
                    Duration(4),
                    {{"s", 8, "{}"},
                     {"t", 0, ""},
                     {"u", 9, "x", ValueEncoding::Compressed}}}}},
      SnapshotRequest{{"127.0.0.1", 6}, {"servers"}},
      ConsumptionSum{InstanceId("i1"),
                     7,
                     CollectorRole::HoldsLease,
                     23,
                     {{AccountName("a"), 7, 9}},
                     Duration(5)},
      ServerRateLimits{
          {{ServerId("s@1"), RateLimitState::Lifted, 2250000, Duration(6)}}},
      EngineWorkReport{{{ServerId("s@1"), 5000, 12000, 700}},
                       {{ServiceName("s"), 9000, 7000, 1, 2, 3, 4, 5}}},
      EngineWorkSum{InstanceId("i1"),
                    7,
                    {{ServerId("s@1"), 5000, 12000, 700}},
                    {{ServiceName("s"), 9000, 7000, 1, 2, 3, 4, 5}}},
      RolloutShares{InstanceId("i1"), 7, 8, {{ServiceName("s"), "v2", 40000}}},
      VersionReport{{{ServiceName("s"), "v2", "/r/", 1, 2, 3, 4}}}};
}

TEST_CASE("Every message is unchanged by encoding and decoding") {
  REQUIRE(examples().size() == std::variant_size_v<PeerMessage>);
  for (auto const &Message : examples()) {
    auto const Body = encodePeerBody(Message);
    REQUIRE(!isError(Body));
    auto const Decoded = decodePeerBody(valueOf(Body));
    REQUIRE(!isError(Decoded));
    CHECK(valueOf(Decoded) == Message);
  }
}

TEST_CASE(
    "Truncated and extended bodies are errors, altered ones do not crash") {
  for (auto const &Message : examples()) {
    auto const Body = valueOf(encodePeerBody(Message));
    for (std::size_t Size = 0; Size < Body.size(); ++Size)
      CHECK(isError(decodePeerBody(Body.substr(0, Size))));
    CHECK(isError(decodePeerBody(Body + '\0')));
    for (std::size_t Index = 0; Index < Body.size(); ++Index) {
      auto Altered = Body;
      Altered[Index] = static_cast<char>(Altered[Index] ^ 0x80);
      decodePeerBody(Altered);
    }
  }
}

TEST_CASE("Unknown types and enumerators are errors") {
  CHECK(isError(decodePeerBody("\x92\x63\x90")));
  auto Body =
      valueOf(encodePeerBody(Heartbeat{HeartbeatKind::Gossip, 0, {}, {}}));
  REQUIRE(Body[3] == 4);
  Body[3] = 5;
  CHECK(isError(decodePeerBody(Body)));
}

TEST_CASE("An excessive stated size is rejected before memory is allocated") {
  CHECK(isError(decodePeerBody("\x92\x03\x91\xdd\xff\xff\xff\xff")));
  CHECK(isError(decodePeerHeader(std::string("\x00\x40\x00\x01", 4))));
  CHECK(valueOf(decodePeerHeader(std::string("\x00\x40\x00\x00", 4))) ==
        MaxPeerBodySize);
}

TEST_CASE("A message that is too large is not encoded") {
  ConfigurationObject Object;
  Object.Specification_ = std::string(MaxPeerBodySize, 'x');
  CHECK(isError(encodePeerFrame(ConfigurationObjects{{Object}})));
}

TEST_CASE("Earlier releases can read an object whose value is plain") {
  auto const Encode = [](ValueEncoding Encoding) {
    return valueOf(encodePeerBody(
        StoreUpdate{InstanceId("i"),
                    1,
                    Propagation::None,
                    {},
                    {{"c", 1, 2, Duration(0), {{"name", 3, "v", Encoding}}}}}));
  };
  // An array of three fields: name, version and value.
  CHECK(Encode(ValueEncoding::Plain).find("\x93\xa4name\x03\xa1v") !=
        std::string::npos);
  CHECK(Encode(ValueEncoding::Compressed).find("\x94\xa4name\x03\xa1v") !=
        std::string::npos);
}
