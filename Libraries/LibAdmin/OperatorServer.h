#pragma once

#include <LibAdmin/OperatorActions.h>
#include <LibAdmin/OperatorService.h>
#include <LibCore/Result.h>
#include <LibSettings/DaemonSettings.h>

#include <grpcpp/server.h>

#include <memory>

namespace laburnum {

/// The gRPC server of the operators' interface. It listens from its creation
/// until it is stopped or destroyed. Actions must outlive it.
///
/// FIXME: Add TLS; until then the operators' network has to be trusted.
class OperatorServer {
public:
  /// Returns Unavailable if the address cannot be bound.
  static Result<std::unique_ptr<OperatorServer>>
  create(OperatorsSettings const &Settings, OperatorActions &Actions);

  ~OperatorServer();
  OperatorServer(OperatorServer const &) = delete;
  OperatorServer &operator=(OperatorServer const &) = delete;

  /// The bound address, with the actual port if the settings say 0.
  Endpoint const &endpoint() const { return Endpoint_; }

  /// Refuses new calls and cancels those that are still running after Grace.
  void stop(Duration Grace);

private:
  OperatorServer(OperatorsSettings const &Settings, OperatorActions &Actions);
  Result<Success> listen();

  Endpoint Endpoint_;
  OperatorService Service_;
  std::unique_ptr<grpc::Server> Server_;
};

} // namespace laburnum
