#pragma once

#include <LibAdmin/OperatorActions.h>
#include <LibAdmin/OperatorService.h>
#include <LibCore/Result.h>
#include <LibSettings/DaemonSettings.h>

#include <grpcpp/server.h>

#include <memory>

namespace laburnum {

/// The gRPC server of the operators' interface. It listens as soon as it
/// exists and until it is destroyed or stopped. Actions outlives it.
///
/// FIXME: Without TLS; the operators' network has to be trusted.
class OperatorServer {
public:
  /// Unavailable when the address cannot be listened on.
  static Result<std::unique_ptr<OperatorServer>>
  create(OperatorsSettings const &Settings, OperatorActions &Actions);

  ~OperatorServer();
  OperatorServer(OperatorServer const &) = delete;
  OperatorServer &operator=(OperatorServer const &) = delete;

  /// Where it listens, with the real port when the settings say 0.
  Endpoint const &endpoint() const { return Endpoint_; }

  /// Refuses new calls and ends those that are not done within Grace.
  void stop(Duration Grace);

private:
  OperatorServer(OperatorsSettings const &Settings, OperatorActions &Actions);
  Result<Success> listen();

  Endpoint Endpoint_;
  OperatorService Service_;
  std::unique_ptr<grpc::Server> Server_;
};

} // namespace laburnum
