#pragma once

#include <LibAdmin/OperatorActions.h>
#include <LibAdmin/OperatorAuthenticator.h>

#include <laburnum.grpc.pb.h>

namespace laburnum {

/// Implements the gRPC service: authenticates each call, validates and decodes
/// its request and forwards it to OperatorActions.
class OperatorService final : public admin::v1::Operators::Service {
public:
  OperatorService(OperatorAuthenticator Authenticator, OperatorActions &Actions)
      : Authenticator_(std::move(Authenticator)), Actions_(Actions) {}

  grpc::Status ApplyService(grpc::ServerContext *Context,
                            admin::v1::ApplyServiceRequest const *Request,
                            admin::v1::ChangeReply *Reply) override;
  grpc::Status ApplyAccount(grpc::ServerContext *Context,
                            admin::v1::ApplyAccountRequest const *Request,
                            admin::v1::ChangeReply *Reply) override;
  grpc::Status ApplyServer(grpc::ServerContext *Context,
                           admin::v1::ApplyServerRequest const *Request,
                           admin::v1::ChangeReply *Reply) override;
  grpc::Status Delete(grpc::ServerContext *Context,
                      admin::v1::DeleteRequest const *Request,
                      admin::v1::ChangeReply *Reply) override;
  grpc::Status ListObjects(grpc::ServerContext *Context,
                           admin::v1::ListObjectsRequest const *Request,
                           admin::v1::ListObjectsReply *Reply) override;
  grpc::Status ListInstances(grpc::ServerContext *Context,
                             admin::v1::ListInstancesRequest const *Request,
                             admin::v1::ListInstancesReply *Reply) override;
  grpc::Status ListConfigurationInForce(
      grpc::ServerContext *Context,
      admin::v1::ListConfigurationInForceRequest const *Request,
      admin::v1::ListConfigurationInForceReply *Reply) override;
  grpc::Status ListAuditTrail(grpc::ServerContext *Context,
                              admin::v1::ListAuditTrailRequest const *Request,
                              admin::v1::ListAuditTrailReply *Reply) override;
  grpc::Status ListReclaims(grpc::ServerContext *Context,
                            admin::v1::ListReclaimsRequest const *Request,
                            admin::v1::ListReclaimsReply *Reply) override;
  grpc::Status ReadMetrics(grpc::ServerContext *Context,
                           admin::v1::ReadMetricsRequest const *Request,
                           admin::v1::ReadMetricsReply *Reply) override;
  grpc::Status ReadStatus(grpc::ServerContext *Context,
                          admin::v1::ReadStatusRequest const *Request,
                          admin::v1::ReadStatusReply *Reply) override;
  grpc::Status Drain(grpc::ServerContext *Context,
                     admin::v1::DrainRequest const *Request,
                     admin::v1::DrainReply *Reply) override;

private:
  Result<std::string> authenticate(grpc::ServerContext const &Context) const;

  /// Authenticates, decodes the change, applies it and fills the reply.
  template <typename Value, typename Apply>
  grpc::Status
  serveChange(grpc::ServerContext const &Context,
              admin::v1::Change const &Change, Result<Value> const &Decoded,
              admin::v1::ChangeReply &Reply, Apply const &Operation);

  /// Authenticates, calls Read and writes its result to the reply with Fill.
  template <typename Reader, typename Filler>
  grpc::Status serveRead(grpc::ServerContext const &Context, Reader const &Read,
                         Filler const &Fill);

  OperatorAuthenticator Authenticator_;
  OperatorActions &Actions_;
};

} // namespace laburnum
