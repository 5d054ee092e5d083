#include <LibAdmin/ProtoCodec.h>
#include <LibAdmin/StatusCodec.h>
#include <LibAdmin/ViewCodec.h>

#include <catch2/catch.hpp>

#include <cmath>

using namespace laburnum;

namespace {

using std::chrono::milliseconds;

Service const Writer{ServiceName("dossier-writer"),
                     ServiceKind::Model,
                     {{DataCentre("wien-1"), DataCentre("graz-1")}, 12, 0.25},
                     -3,
                     milliseconds(340),
                     {{"POST", "/fees"}, {"", "/orders"}},
                     {2.5, 0.5},
                     0.2};

BackendServer const Runner{ServerId("r1"),
                           ServiceName("dossier-writer"),
                           DataCentre("wien-1"),
                           {"127.0.0.1", 9000},
                           FencingCheck::Honoured,
                           8,
                           2.5,
                           false};

std::string const Key = "stalls-0123456789-abcdefgh";

AccountInput const Stalls{AccountName("stalls"),
                          Key,
                          {50, 2000, 7},
                          1.5,
                          {ServiceName("dossier-writer")}};

/// Encodes and decodes a value and returns the result.
template <typename Value> Value roundTrip(Value const &Original) {
  auto const Decoded = decode(encode(Original));
  REQUIRE_FALSE(isError(Decoded));
  return valueOf(Decoded);
}

template <typename Message> std::string refusalOf(Message const &Wrong) {
  auto const Decoded = decode(Wrong);
  REQUIRE(isError(Decoded));
  CHECK(errorOf(Decoded).Kind_ == ErrorKind::InvalidArgument);
  CHECK_FALSE(errorOf(Decoded).Remedy_.empty());
  return errorOf(Decoded).Message_;
}

template <typename Change> proto::Service changedService(Change const &Modify) {
  auto Message = encode(Writer);
  Modify(Message);
  return Message;
}

template <typename Change> proto::Server changedServer(Change const &Modify) {
  auto Message = encode(Runner);
  Modify(Message);
  return Message;
}

bool names(std::string const &Text, std::string const &Field) {
  return Text.find("field " + Field + " ") != std::string::npos;
}

} // namespace

TEST_CASE("Objects and requests round-trip through the messages") {
  CHECK(roundTrip(Writer) == Writer);
  CHECK(roundTrip(Runner) == Runner);
  for (auto const &View : {ObjectView{3, Writer}, ObjectView{4, Runner}})
    CHECK(roundTrip(View) == View);

  OperatorChange const Change{ChangeId("c1"), 42, ""};
  CHECK(roundTrip(Change) == Change);
  ObjectQuery const Query{ObjectKind::Account, "stalls"};
  CHECK(roundTrip(Query) == Query);
  AuditQuery const Audit{ObjectKind::Server, "r1", 5};
  CHECK(roundTrip(Audit) == Audit);
  CHECK(roundTrip(AuditQuery{std::nullopt, "", 0}).Limit_ == 100);
  DrainOrder const Drain{ServerId("r1"), milliseconds(1500), ""};
  CHECK(roundTrip(Drain) == Drain);

  proto::DeleteRequest Delete;
  Delete.set_kind(proto::OBJECT_KIND_SERVER);
  Delete.set_name("r1");
  CHECK(valueOf(decode(Delete)) == ObjectName{ObjectKind::Server, "r1"});
}

TEST_CASE("Reports round-trip through the messages") {
  InstanceView const Instance{"r1",
                              InstanceRole::Server,
                              DataCentre("wien-1"),
                              Liveness::Leaving,
                              ServiceName("desk"),
                              "127.0.0.1:9000",
                              3};
  CHECK(roundTrip(Instance) == Instance);
  ConfigurationInForce const InForce{InstanceId("e1"), DataCentre("wien-1"), 7,
                                     ~0ULL, milliseconds(3)};
  CHECK(roundTrip(InForce) == InForce);
  AuditEntry const Entry{ChangeId("c1"),
                         "ada",
                         1234,
                         {ObjectKind::Service, "desk"},
                         6,
                         "{}",
                         ChangeAction::Delete,
                         InstanceId("e1")};
  CHECK(roundTrip(Entry) == Entry);
  ReclaimView const Reclaim{"r1", DataCentre("wien-1"), milliseconds(-5),
                            "peer", 2};
  CHECK(roundTrip(Reclaim) == Reclaim);
  MetricSnapshot const Metric{"a.b", "ms", 5, 6.5, 1, 2, 3, 4};
  CHECK(roundTrip(Metric) == Metric);
  StatusView const Status{InstanceId("e1"),
                          Severity::Critical,
                          {{Severity::Warning, "what", "remedy"}},
                          1,
                          2,
                          3,
                          4,
                          5,
                          6,
                          PlatformConnectivity::Reachable};
  CHECK(roundTrip(Status) == Status);
}

TEST_CASE("An account's key is decoded to its digest and hint") {
  auto const Change = valueOf(decode(encode(Stalls)));
  CHECK(Change == AccountChange{Stalls.Name_,
                                AccountKey{keyDigest(Key), "efgh"},
                                Stalls.Limits_, 1.5, Stalls.Services_});
  auto Kept = Stalls;
  Kept.Key_.reset();
  CHECK_FALSE(valueOf(decode(encode(Kept))).NewKey_);
}

TEST_CASE("Replies contain neither key nor digest") {
  ClientAccount const Stored{Stalls.Name_, keyDigest(Key),
                             "efgh",       Stalls.Limits_,
                             1.5,          Stalls.Services_};
  auto const Sent = encode(ObjectView{3, Stored}).SerializeAsString();
  CHECK(Sent.find(Stored.KeyDigest_) == std::string::npos);
  auto Shown = Stored;
  Shown.KeyDigest_.clear();
  CHECK(roundTrip(ObjectView{3, Stored}) == ObjectView{3, Shown});

  AuditEntry Entry;
  Entry.Specification_ = R"({"key_digest":"0a1b","name":"stalls"})";
  CHECK(encode(Entry).specification() == R"({"name":"stalls"})");
}

TEST_CASE("A key that is too short is rejected without quoting it") {
  auto Message = encode(Stalls);
  Message.set_key("only-23-characters-here");
  auto const Text = refusalOf(Message);
  CHECK(names(Text, "account.key"));
  CHECK(Text.find(Message.key()) == std::string::npos);
}

TEST_CASE("The error names a service's invalid field") {
  auto const Refused = [](auto const &Modify) {
    return refusalOf(changedService(Modify));
  };
  CHECK(names(Refused([](auto &Target) { Target.set_name("a/b"); }),
              "service.name"));
  CHECK(names(Refused([](auto &Target) { Target.clear_kind(); }),
              "service.kind"));
  CHECK(names(Refused([](auto &Target) { Target.set_latency_target_ms(0); }),
              "service.latency_target_ms"));
  CHECK(names(Refused([](auto &Target) { Target.set_retry_budget(NAN); }),
              "service.retry_budget"));
  CHECK(names(Refused([](auto &Target) { Target.add_non_idempotent_calls(); }),
              "service.non_idempotent_calls.path_prefix"));
  CHECK(names(Refused([](auto &Target) {
                Target.mutable_placement()->set_on_demand_share(1.1);
              }),
              "service.placement.on_demand_share"));
}

TEST_CASE("The error names a server's invalid field") {
  auto const Refused = [](auto const &Modify) {
    return refusalOf(changedServer(Modify));
  };
  CHECK(names(Refused([](auto &Target) { Target.set_port(65536); }),
              "server.port"));
  CHECK(names(Refused([](auto &Target) { Target.set_capacity(0); }),
              "server.capacity"));
  CHECK(
      names(Refused([](auto &Target) { Target.clear_host(); }), "server.host"));
  CHECK(names(Refused([](auto &Target) { Target.clear_fencing(); }),
              "server.fencing"));
}

TEST_CASE("Requests without required fields are rejected") {
  CHECK(names(refusalOf(proto::Change()), "change.change_id"));
  CHECK(names(refusalOf(proto::DeleteRequest()), "delete.kind"));
  CHECK(names(refusalOf(proto::ListObjectsRequest()), "list_objects.kind"));
  CHECK(names(refusalOf(proto::Object()), "object.value"));
  CHECK(names(refusalOf(proto::Instance()), "instance.id"));
}

TEST_CASE("Errors round-trip through the status") {
  for (auto const Kind :
       {ErrorKind::InvalidArgument, ErrorKind::Unauthenticated,
        ErrorKind::PermissionDenied, ErrorKind::NotFound, ErrorKind::Conflict,
        ErrorKind::ResourceExhausted, ErrorKind::Unavailable,
        ErrorKind::OutcomeUnknown, ErrorKind::DeadlineExceeded,
        ErrorKind::Internal}) {
    Error const Failure{Kind, "what", "remedy"};
    auto const Status = encodeStatus(Failure);
    CHECK(decodeStatus(Status, CallEffect::Changes) == Failure);
    CHECK_FALSE(conflictVersion(Status));
  }
  auto const Status = encodeConflict({ObjectKind::Service, "desk"}, 5, 0);
  CHECK(Status.error_code() == grpc::StatusCode::ABORTED);
  CHECK(conflictVersion(Status) == Version(0));
}

TEST_CASE("A change whose answer is lost has an unknown outcome") {
  grpc::Status const Lost(grpc::StatusCode::UNAVAILABLE, "reset");
  CHECK(decodeStatus(Lost, CallEffect::Changes).Kind_ ==
        ErrorKind::OutcomeUnknown);
  CHECK(decodeStatus(Lost, CallEffect::Reads).Kind_ == ErrorKind::Unavailable);
}
