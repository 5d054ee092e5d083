#pragma once

#include <LibAdmin/OperatorActions.h>
#include <LibAdmin/ProtoCodec.h>
#include <LibCore/Result.h>

#include <grpcpp/channel.h>
#include <laburnum.grpc.pb.h>

#include <memory>
#include <string>
#include <vector>

namespace laburnum {

/// The server's address, the operator's key and the timeout of a call.
struct OperatorClientSettings {
  std::string Server_; ///< "host:port".
  std::string Key_;
  Duration Timeout_ = std::chrono::seconds(10);
};

/// Client of the operators' gRPC interface. Each call blocks for at most the
/// timeout. If the server cannot be reached, the error is Unavailable and
/// nothing was sent; if the answer to a change is lost, it is OutcomeUnknown.
class OperatorClient {
public:
  explicit OperatorClient(OperatorClientSettings Settings);

  Result<ChangeOutcome> applyService(OperatorChange const &Change,
                                     Service const &Value);
  Result<ChangeOutcome> applyAccount(OperatorChange const &Change,
                                     AccountInput const &Value);
  Result<ChangeOutcome> applyServer(OperatorChange const &Change,
                                    BackendServer const &Value);
  Result<ChangeOutcome> remove(OperatorChange const &Change,
                               ObjectName const &Name);
  Result<std::vector<ObjectView>> listObjects(ObjectQuery const &Query);
  Result<std::vector<InstanceView>> listInstances();
  Result<std::vector<ConfigurationInForce>> listConfigurationInForce();
  Result<std::vector<AuditEntry>> listAuditTrail(AuditQuery const &Query);
  Result<std::vector<ReclaimView>> listReclaims();
  Result<std::vector<MetricSnapshot>> readMetrics(std::string const &Prefix);
  Result<StatusView> readStatus();
  Result<Success> drain(DrainOrder const &Order);

private:
  using Stub = admin::v1::Operators::Stub;

  /// Connects, calls the method and returns its status.
  template <typename Request, typename Reply>
  grpc::Status call(grpc::Status (Stub::*Method)(grpc::ClientContext *,
                                                 Request const &, Reply *),
                    Request const &Message, Reply &Answer);

  template <typename Request>
  Result<ChangeOutcome>
  change(grpc::Status (Stub::*Method)(grpc::ClientContext *, Request const &,
                                      admin::v1::ChangeReply *),
         Request const &Message);

  OperatorClientSettings Settings_;
  std::shared_ptr<grpc::Channel> Channel_;
  std::unique_ptr<Stub> Stub_;
};

} // namespace laburnum
