#include <LibModel/JsonCodec.h>

#include <catch2/catch.hpp>

using namespace laburnum;

TEST_CASE("A service survives encoding and decoding") {
  Service Plain;
  Plain.Name_ = ServiceName("entry-desk");
  Plain.NonIdempotentCalls_ = {{"POST", "/fees"}};
  Plain.Placement_ = {{DataCentre("wien-1")}, 3, 0.25};
  auto const Decoded = decodeService(encodeJson(Plain));
  REQUIRE_FALSE(isError(Decoded));
  CHECK(valueOf(Decoded) == Plain);
}

TEST_CASE("An account and a server survive encoding and decoding") {
  ClientAccount Account;
  Account.Name_ = AccountName("stalls");
  Account.KeyDigest_ = keyDigest("secret");
  Account.KeyHint_ = "cret";
  CHECK(decodeClientAccount(encodeJson(Account)) ==
        Result<ClientAccount>(Account));

  BackendServer Server;
  Server.Id_ = ServerId("runner-1");
  Server.Service_ = ServiceName("dossier-writer");
  Server.Endpoint_ = {"127.0.0.1", 9000};
  CHECK(decodeBackendServer(encodeJson(Server)) ==
        Result<BackendServer>(Server));
}

TEST_CASE("Decoding names the key that is unknown, missing or out of range") {
  Service Plain;
  Plain.Name_ = ServiceName("entry-desk");
  auto Text = encodeJson(Plain);

  SECTION("unknown") {
    Text.insert(1, "\"prioritty\":1,");
    auto const Decoded = decodeService(Text);
    REQUIRE(isError(Decoded));
    CHECK(errorOf(Decoded).Message_.find("prioritty") != std::string::npos);
  }
  SECTION("missing") {
    auto const Decoded = decodeService("{\"name\":\"x\",\"kind\":\"plain\"}");
    REQUIRE(isError(Decoded));
    CHECK(errorOf(Decoded).Message_.find("placement") != std::string::npos);
  }
  SECTION("not JSON") {
    REQUIRE(isError(decodeService("{")));
    REQUIRE(isError(decodeService("[]")));
  }
}

TEST_CASE("A key's digest is SHA-256 in hexadecimal") {
  CHECK(keyDigest("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
