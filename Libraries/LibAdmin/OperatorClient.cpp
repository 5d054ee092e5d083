#include <LibAdmin/OperatorClient.h>

#include <LibAdmin/StatusCodec.h>
#include <LibAdmin/ViewCodec.h>

#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>

namespace laburnum {

namespace {

std::shared_ptr<grpc::Channel> channelTo(std::string const &Server) {
  grpc::ChannelArguments Arguments;
  // Connect directly to the named instance, even if a proxy is configured.
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  return grpc::CreateCustomChannel(Server, grpc::InsecureChannelCredentials(),
                                   Arguments);
}

Error readError(grpc::Status const &Status) {
  return decodeStatus(Status, CallEffect::Reads);
}

template <typename Value, typename Field>
Result<std::vector<Value>> decodeAll(Field const &Messages) {
  std::vector<Value> Values;
  for (auto const &Message : Messages) {
    auto Decoded = decode(Message);
    if (isError(Decoded))
      return errorOf(Decoded);
    Values.push_back(takeValue(std::move(Decoded)));
  }
  return Values;
}

} // namespace

OperatorClient::OperatorClient(OperatorClientSettings Settings)
    : Settings_(std::move(Settings)), Channel_(channelTo(Settings_.Server_)),
      Stub_(proto::Operators::NewStub(Channel_)) {}

template <typename Request, typename Reply>
grpc::Status
OperatorClient::call(grpc::Status (Stub::*Method)(grpc::ClientContext *,
                                                  Request const &, Reply *),
                     Request const &Message, Reply &Answer) {
  auto const Deadline = std::chrono::system_clock::now() + Settings_.Timeout_;
  if (!Channel_->WaitForConnected(Deadline))
    return encodeStatus({ErrorKind::Unavailable,
                         "cannot connect to " + Settings_.Server_,
                         "check the address and whether laburnumd runs there, "
                         "or ask another entry instance"});
  grpc::ClientContext Context;
  Context.set_deadline(Deadline);
  Context.AddMetadata("authorization", "Bearer " + Settings_.Key_);
  return (Stub_.get()->*Method)(&Context, Message, &Answer);
}

template <typename Request>
Result<ChangeOutcome>
OperatorClient::change(grpc::Status (Stub::*Method)(grpc::ClientContext *,
                                                    Request const &,
                                                    proto::ChangeReply *),
                       Request const &Message) {
  proto::ChangeReply Reply;
  auto const Status = call(Method, Message, Reply);
  if (auto const Current = conflictVersion(Status))
    return ChangeOutcome{ChangeVerdict::Conflict, *Current};
  if (!Status.ok())
    return decodeStatus(Status, CallEffect::Changes);
  return ChangeOutcome{Reply.repeated_change() ? ChangeVerdict::Repeated
                                               : ChangeVerdict::Accepted,
                       Reply.version()};
}

Result<ChangeOutcome> OperatorClient::applyService(OperatorChange const &Change,
                                                   Service const &Value) {
  proto::ApplyServiceRequest Request;
  *Request.mutable_change() = encode(Change);
  *Request.mutable_service() = encode(Value);
  return change(&Stub::ApplyService, Request);
}

Result<ChangeOutcome> OperatorClient::applyAccount(OperatorChange const &Change,
                                                   AccountInput const &Value) {
  proto::ApplyAccountRequest Request;
  *Request.mutable_change() = encode(Change);
  *Request.mutable_account() = encode(Value);
  return change(&Stub::ApplyAccount, Request);
}

Result<ChangeOutcome> OperatorClient::applyServer(OperatorChange const &Change,
                                                  BackendServer const &Value) {
  proto::ApplyServerRequest Request;
  *Request.mutable_change() = encode(Change);
  *Request.mutable_server() = encode(Value);
  return change(&Stub::ApplyServer, Request);
}

Result<ChangeOutcome> OperatorClient::remove(OperatorChange const &Change,
                                             ObjectName const &Name) {
  proto::DeleteRequest Request;
  *Request.mutable_change() = encode(Change);
  Request.set_kind(encode(Name.Kind_));
  Request.set_name(Name.Name_);
  return change(&Stub::Delete, Request);
}

Result<std::vector<ObjectView>>
OperatorClient::listObjects(ObjectQuery const &Query) {
  proto::ListObjectsReply Reply;
  auto const Status = call(&Stub::ListObjects, encode(Query), Reply);
  if (!Status.ok())
    return readError(Status);
  return decodeAll<ObjectView>(Reply.objects());
}

Result<std::vector<InstanceView>> OperatorClient::listInstances() {
  proto::ListInstancesReply Reply;
  auto const Status =
      call(&Stub::ListInstances, proto::ListInstancesRequest(), Reply);
  if (!Status.ok())
    return readError(Status);
  return decodeAll<InstanceView>(Reply.instances());
}

Result<std::vector<ConfigurationInForce>>
OperatorClient::listConfigurationInForce() {
  proto::ListConfigurationInForceReply Reply;
  auto const Status = call(&Stub::ListConfigurationInForce,
                           proto::ListConfigurationInForceRequest(), Reply);
  if (!Status.ok())
    return readError(Status);
  return decodeAll<ConfigurationInForce>(Reply.instances());
}

Result<std::vector<AuditEntry>>
OperatorClient::listAuditTrail(AuditQuery const &Query) {
  proto::ListAuditTrailReply Reply;
  auto const Status = call(&Stub::ListAuditTrail, encode(Query), Reply);
  if (!Status.ok())
    return readError(Status);
  return decodeAll<AuditEntry>(Reply.entries());
}

Result<std::vector<ReclaimView>> OperatorClient::listReclaims() {
  proto::ListReclaimsReply Reply;
  auto const Status =
      call(&Stub::ListReclaims, proto::ListReclaimsRequest(), Reply);
  if (!Status.ok())
    return readError(Status);
  return decodeAll<ReclaimView>(Reply.reclaims());
}

Result<std::vector<MetricSnapshot>>
OperatorClient::readMetrics(std::string const &Prefix) {
  proto::ReadMetricsRequest Request;
  Request.set_prefix(Prefix);
  proto::ReadMetricsReply Reply;
  auto const Status = call(&Stub::ReadMetrics, Request, Reply);
  if (!Status.ok())
    return readError(Status);
  return decodeAll<MetricSnapshot>(Reply.metrics());
}

Result<StatusView> OperatorClient::readStatus() {
  proto::ReadStatusReply Reply;
  auto const Status =
      call(&Stub::ReadStatus, proto::ReadStatusRequest(), Reply);
  if (!Status.ok())
    return readError(Status);
  return decode(Reply);
}

Result<Success> OperatorClient::drain(DrainOrder const &Order) {
  proto::DrainReply Reply;
  auto const Status = call(&Stub::Drain, encode(Order), Reply);
  if (!Status.ok())
    return decodeStatus(Status, CallEffect::Changes);
  return Success{};
}

} // namespace laburnum
