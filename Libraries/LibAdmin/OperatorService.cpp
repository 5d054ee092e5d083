#include <LibAdmin/OperatorService.h>

#include <LibAdmin/ProtoCodec.h>
#include <LibAdmin/StatusCodec.h>
#include <LibAdmin/ViewCodec.h>

namespace laburnum {

namespace {

ObjectName nameOf(Service const &Value) {
  return {ObjectKind::Service, Value.Name_.text()};
}

ObjectName nameOf(AccountChange const &Value) {
  return {ObjectKind::Account, Value.Name_.text()};
}

ObjectName nameOf(BackendServer const &Value) {
  return {ObjectKind::Server, Value.Id_.text()};
}

ObjectName nameOf(ObjectName const &Value) { return Value; }

/// Returns a function that appends encoded values to a reply's repeated field.
template <typename Field> auto appendTo(Field *Target) {
  return [Target](auto const &Values) {
    for (auto const &Element : Values)
      *Target->Add() = encode(Element);
  };
}

} // namespace

Result<std::string>
OperatorService::authenticate(grpc::ServerContext const &Context) const {
  auto const &Metadata = Context.client_metadata();
  auto const Found = Metadata.find("authorization");
  if (Found == Metadata.end())
    return Authenticator_.authenticate("");
  return Authenticator_.authenticate(
      {Found->second.data(), Found->second.size()});
}

template <typename Value, typename Apply>
grpc::Status OperatorService::serveChange(grpc::ServerContext const &Context,
                                          proto::Change const &Change,
                                          Result<Value> const &Decoded,
                                          proto::ChangeReply &Reply,
                                          Apply const &Operation) {
  auto const Operator = authenticate(Context);
  if (isError(Operator))
    return encodeStatus(errorOf(Operator));
  auto DecodedRequest = decode(Change);
  if (isError(DecodedRequest))
    return encodeStatus(errorOf(DecodedRequest));
  if (isError(Decoded))
    return encodeStatus(errorOf(Decoded));
  auto Authenticated = takeValue(std::move(DecodedRequest));
  Authenticated.OperatorName_ = valueOf(Operator);
  auto const Outcome = Operation(Authenticated, valueOf(Decoded));
  if (isError(Outcome))
    return encodeStatus(errorOf(Outcome));
  auto const &Decision = valueOf(Outcome);
  if (Decision.Verdict_ == ChangeVerdict::Conflict)
    return encodeConflict(nameOf(valueOf(Decoded)), Authenticated.Expected_,
                          Decision.Version_);
  Reply.set_version(Decision.Version_);
  Reply.set_repeated_change(Decision.Verdict_ == ChangeVerdict::Repeated);
  return grpc::Status::OK;
}

template <typename Reader, typename Filler>
grpc::Status OperatorService::serveRead(grpc::ServerContext const &Context,
                                        Reader const &Read,
                                        Filler const &Fill) {
  auto const Operator = authenticate(Context);
  if (isError(Operator))
    return encodeStatus(errorOf(Operator));
  auto const Outcome = Read(valueOf(Operator));
  if (isError(Outcome))
    return encodeStatus(errorOf(Outcome));
  Fill(valueOf(Outcome));
  return grpc::Status::OK;
}

grpc::Status
OperatorService::ApplyService(grpc::ServerContext *Context,
                              proto::ApplyServiceRequest const *Request,
                              proto::ChangeReply *Reply) {
  return serveChange(*Context, Request->change(), decode(Request->service()),
                     *Reply, [&](auto const &Change, auto const &Value) {
                       return Actions_.applyService(Change, Value);
                     });
}

grpc::Status
OperatorService::ApplyAccount(grpc::ServerContext *Context,
                              proto::ApplyAccountRequest const *Request,
                              proto::ChangeReply *Reply) {
  return serveChange(*Context, Request->change(), decode(Request->account()),
                     *Reply, [&](auto const &Change, auto const &Value) {
                       return Actions_.applyAccount(Change, Value);
                     });
}

grpc::Status
OperatorService::ApplyServer(grpc::ServerContext *Context,
                             proto::ApplyServerRequest const *Request,
                             proto::ChangeReply *Reply) {
  return serveChange(*Context, Request->change(), decode(Request->server()),
                     *Reply, [&](auto const &Change, auto const &Value) {
                       return Actions_.applyServer(Change, Value);
                     });
}

grpc::Status OperatorService::Delete(grpc::ServerContext *Context,
                                     proto::DeleteRequest const *Request,
                                     proto::ChangeReply *Reply) {
  return serveChange(*Context, Request->change(), decode(*Request), *Reply,
                     [&](auto const &Change, auto const &Name) {
                       return Actions_.remove(Change, Name);
                     });
}

grpc::Status
OperatorService::ListObjects(grpc::ServerContext *Context,
                             proto::ListObjectsRequest const *Request,
                             proto::ListObjectsReply *Reply) {
  auto const Read = [&](auto const &) -> Result<std::vector<ObjectView>> {
    auto const Query = decode(*Request);
    if (isError(Query))
      return errorOf(Query);
    return Actions_.listObjects(valueOf(Query));
  };
  return serveRead(*Context, Read, appendTo(Reply->mutable_objects()));
}

grpc::Status
OperatorService::ListInstances(grpc::ServerContext *Context,
                               proto::ListInstancesRequest const * /*Request*/,
                               proto::ListInstancesReply *Reply) {
  return serveRead(
      *Context, [&](auto const &) { return Actions_.listInstances(); },
      appendTo(Reply->mutable_instances()));
}

grpc::Status OperatorService::ListConfigurationInForce(
    grpc::ServerContext *Context,
    proto::ListConfigurationInForceRequest const * /*Request*/,
    proto::ListConfigurationInForceReply *Reply) {
  return serveRead(
      *Context,
      [&](auto const &) { return Actions_.listConfigurationInForce(); },
      appendTo(Reply->mutable_instances()));
}

grpc::Status
OperatorService::ListAuditTrail(grpc::ServerContext *Context,
                                proto::ListAuditTrailRequest const *Request,
                                proto::ListAuditTrailReply *Reply) {
  auto const Read = [&](auto const &) -> Result<std::vector<AuditEntry>> {
    auto const Query = decode(*Request);
    if (isError(Query))
      return errorOf(Query);
    return Actions_.listAuditTrail(valueOf(Query));
  };
  return serveRead(*Context, Read, appendTo(Reply->mutable_entries()));
}

grpc::Status
OperatorService::ListReclaims(grpc::ServerContext *Context,
                              proto::ListReclaimsRequest const * /*Request*/,
                              proto::ListReclaimsReply *Reply) {
  return serveRead(
      *Context, [&](auto const &) { return Actions_.listReclaims(); },
      appendTo(Reply->mutable_reclaims()));
}

grpc::Status
OperatorService::ReadMetrics(grpc::ServerContext *Context,
                             proto::ReadMetricsRequest const *Request,
                             proto::ReadMetricsReply *Reply) {
  return serveRead(
      *Context,
      [&](auto const &) { return Actions_.readMetrics(Request->prefix()); },
      appendTo(Reply->mutable_metrics()));
}

grpc::Status
OperatorService::ReadStatus(grpc::ServerContext *Context,
                            proto::ReadStatusRequest const * /*Request*/,
                            proto::ReadStatusReply *Reply) {
  return serveRead(
      *Context, [&](auto const &) { return Actions_.readStatus(); },
      [&](StatusView const &Status) { *Reply = encode(Status); });
}

grpc::Status OperatorService::Drain(grpc::ServerContext *Context,
                                    proto::DrainRequest const *Request,
                                    proto::DrainReply * /*Reply*/) {
  auto const Order = [&](std::string const &Operator) -> Result<Success> {
    auto DecodedRequest = decode(*Request);
    if (isError(DecodedRequest))
      return errorOf(DecodedRequest);
    auto Authenticated = takeValue(std::move(DecodedRequest));
    Authenticated.OperatorName_ = Operator;
    return Actions_.drain(Authenticated);
  };
  return serveRead(*Context, Order, [](Success const &) {});
}

} // namespace laburnum
