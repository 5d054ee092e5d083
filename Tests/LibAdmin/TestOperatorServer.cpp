#include "FakeOperatorActions.h"

#include <LibAdmin/OperatorClient.h>
#include <LibAdmin/OperatorServer.h>

#include <catch2/catch.hpp>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>

using namespace laburnum;

namespace {

std::string const AdasKey = "ada-0123456789abcdef";
std::string const StallsKey = "stalls-0123456789-abcdefgh";

/// An operator server on a free port, and a factory of clients for it.
struct Fixture {
  FakeOperatorActions Actions_;
  std::unique_ptr<OperatorServer> Server_;

  Fixture() {
    OperatorsSettings const Settings{
        {"127.0.0.1", 0}, {{"ada", AdasKey}, {"bob", "bob-0123456789abcdef"}}};
    auto Created = OperatorServer::create(Settings, Actions_);
    REQUIRE_FALSE(isError(Created));
    Server_ = takeValue(std::move(Created));
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server_->endpoint().Port_);
  }

  OperatorClient client(std::string const &Key = AdasKey) const {
    return OperatorClient({address(), Key});
  }
};

Service plainService(std::string const &Name) {
  Service Value;
  Value.Name_ = ServiceName(Name);
  return Value;
}

AccountInput stalls() {
  AccountInput Value;
  Value.Name_ = AccountName("stalls");
  Value.Key_ = StallsKey;
  return Value;
}

ChangeOutcome outcomeOf(Result<ChangeOutcome> const &Outcome) {
  REQUIRE_FALSE(isError(Outcome));
  return valueOf(Outcome);
}

} // namespace

TEST_CASE("Only a valid key is accepted, and it identifies the operator") {
  Fixture Running;
  auto const Key =
      GENERATE(as<std::string>(), "", "wrong", "ada-0123456789abcde",
               "ada-0123456789abcdeff", "ADA-0123456789ABCDEF");
  auto const Refused = Running.client(Key).readStatus();
  REQUIRE(isError(Refused));
  CHECK(errorOf(Refused).Kind_ == ErrorKind::Unauthenticated);
  CHECK_FALSE(errorOf(Refused).Remedy_.empty());
  auto const Change = Running.client(Key).applyService({ChangeId("c1"), 0, ""},
                                                       plainService("a"));
  CHECK(errorOf(Change).Kind_ == ErrorKind::Unauthenticated);
  CHECK(Running.Actions_.LastOperator_.empty());

  auto Bob = Running.client("bob-0123456789abcdef");
  outcomeOf(Bob.applyService({ChangeId("c1"), 0, ""}, plainService("a")));
  CHECK(Running.Actions_.LastOperator_ == "bob");
}

TEST_CASE("A call without metadata is refused") {
  Fixture Running;
  auto const Stub = admin::v1::Operators::NewStub(grpc::CreateChannel(
      Running.address(), grpc::InsecureChannelCredentials()));
  grpc::ClientContext Context;
  admin::v1::ReadStatusReply Reply;
  auto const Status = Stub->ReadStatus(&Context, {}, &Reply);
  CHECK(Status.error_code() == grpc::StatusCode::UNAUTHENTICATED);
  admin::v1::ErrorDetail Detail;
  REQUIRE(Detail.ParseFromString(Status.error_details()));
  CHECK(Detail.kind() == "unauthenticated");
}

TEST_CASE("A conflicting change reports the current version") {
  Fixture Running;
  auto Ada = Running.client();
  auto const First =
      outcomeOf(Ada.applyService({ChangeId("c1"), 0, ""}, plainService("a")));
  CHECK(First == ChangeOutcome{ChangeVerdict::Accepted, 1});
  auto const Conflicting =
      outcomeOf(Ada.applyService({ChangeId("c2"), 0, ""}, plainService("a")));
  CHECK(Conflicting == ChangeOutcome{ChangeVerdict::Conflict, 1});
  auto const Absent =
      outcomeOf(Ada.applyService({ChangeId("c3"), 9, ""}, plainService("b")));
  CHECK(Absent == ChangeOutcome{ChangeVerdict::Conflict, 0});
}

TEST_CASE("A repeated change is recognised by its identifier") {
  Fixture Running;
  auto Ada = Running.client();
  OperatorChange const Change{ChangeId("c1"), 0, ""};
  outcomeOf(Ada.applyService(Change, plainService("a")));
  CHECK(outcomeOf(Ada.applyService(Change, plainService("a"))) ==
        ChangeOutcome{ChangeVerdict::Repeated, 1});
}

TEST_CASE("An invalid field is rejected before any action") {
  Fixture Running;
  auto const Refused = Running.client().applyService({ChangeId("c1"), 0, ""},
                                                     plainService("no/name"));
  REQUIRE(isError(Refused));
  CHECK(errorOf(Refused).Message_.find("service.name") != std::string::npos);
  CHECK(Running.Actions_.LastOperator_.empty());
}

TEST_CASE("An account's key never reaches the actions or a reply") {
  Fixture Running;
  auto Ada = Running.client();
  outcomeOf(Ada.applyAccount({ChangeId("c1"), 0, ""}, stalls()));
  CHECK(Running.Actions_.LastKey_ == AccountKey{keyDigest(StallsKey), "efgh"});

  auto const Stub = admin::v1::Operators::NewStub(grpc::CreateChannel(
      Running.address(), grpc::InsecureChannelCredentials()));
  grpc::ClientContext Context;
  Context.AddMetadata("authorization", "Bearer " + AdasKey);
  admin::v1::ListObjectsReply Reply;
  REQUIRE(Stub->ListObjects(&Context,
                            encode(ObjectQuery{ObjectKind::Account, ""}),
                            &Reply)
              .ok());
  auto const Sent = Reply.SerializeAsString();
  CHECK(Reply.objects(0).account().key_hint() == "efgh");
  CHECK(Sent.find(StallsKey) == std::string::npos);
  CHECK(Sent.find(keyDigest(StallsKey)) == std::string::npos);

  auto Kept = stalls();
  Kept.Key_.reset();
  outcomeOf(Ada.applyAccount({ChangeId("c2"), 1, ""}, Kept));
  CHECK_FALSE(Running.Actions_.LastKey_);
}

TEST_CASE("An action's error reaches the client unchanged") {
  Fixture Running;
  Running.Actions_.Failure_ = {ErrorKind::OutcomeUnknown, "what", "remedy"};
  auto const Outcome = Running.client().remove({ChangeId("c1"), 0, ""},
                                               {ObjectKind::Server, "r1"});
  REQUIRE(isError(Outcome));
  CHECK(errorOf(Outcome) == Running.Actions_.Failure_);
}

TEST_CASE("All reports and drain requests reach the actions") {
  Fixture Running;
  Running.Actions_.Status_.ServersLive_ = 5;
  Running.Actions_.Audit_.resize(2);
  auto Ada = Running.client();
  CHECK(valueOf(Ada.readStatus()).ServersLive_ == 5);
  CHECK(valueOf(Ada.listInstances()).front().Id_ == "r1");
  CHECK(valueOf(Ada.listConfigurationInForce()).front().Digest_ == 9);
  CHECK(valueOf(Ada.listReclaims()).size() == 1);
  CHECK(valueOf(Ada.readMetrics("serving.")).front().Name_ == "serving.x");
  CHECK(valueOf(Ada.listAuditTrail({ObjectKind::Server, "r1", 9})).size() == 2);
  CHECK(Running.Actions_.LastAuditQuery_ ==
        AuditQuery{ObjectKind::Server, "r1", 9});
  REQUIRE_FALSE(isError(Ada.drain({ServerId("r1"), Duration(5000), ""})));
  CHECK(Running.Actions_.LastDrain_ ==
        DrainOrder{ServerId("r1"), Duration(5000), "ada"});
}

TEST_CASE("Listening on a port in use fails with Unavailable") {
  Fixture Running;
  FakeOperatorActions Others;
  auto const Second =
      OperatorServer::create({Running.Server_->endpoint(), {}}, Others);
  REQUIRE(isError(Second));
  CHECK(errorOf(Second).Kind_ == ErrorKind::Unavailable);
}
