#include <LibAdmin/OperatorServer.h>

#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>

namespace laburnum {

namespace {

/// Calls block on the platform, so each call in progress occupies a thread.
constexpr int MaxThreads = 32;
constexpr int MaxMessageBytes = 1 << 20;
constexpr auto DestructionGrace = std::chrono::seconds(1);

std::string addressText(Endpoint const &Address) {
  return Address.Host_ + ":" + std::to_string(Address.Port_);
}

} // namespace

Result<std::unique_ptr<OperatorServer>>
OperatorServer::create(OperatorsSettings const &Settings,
                       OperatorActions &Actions) {
  std::unique_ptr<OperatorServer> Server(new OperatorServer(Settings, Actions));
  auto const Listening = Server->listen();
  if (isError(Listening))
    return errorOf(Listening);
  return Server;
}

OperatorServer::OperatorServer(OperatorsSettings const &Settings,
                               OperatorActions &Actions)
    : Endpoint_(Settings.Endpoint_),
      Service_(OperatorAuthenticator(Settings.Keys_), Actions) {}

OperatorServer::~OperatorServer() { stop(DestructionGrace); }

Result<Success> OperatorServer::listen() {
  grpc::ResourceQuota Quota;
  Quota.SetMaxThreads(MaxThreads);
  grpc::ServerBuilder Builder;
  Builder.SetResourceQuota(Quota);
  Builder.SetMaxReceiveMessageSize(MaxMessageBytes);
  // With SO_REUSEPORT a second daemon could bind the same port and receive half
  // of the calls.
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  int Port = 0;
  Builder.AddListeningPort(addressText(Endpoint_),
                           grpc::InsecureServerCredentials(), &Port);
  Builder.RegisterService(&Service_);
  Server_ = Builder.BuildAndStart();
  if (!Server_ || Port == 0)
    return Error{ErrorKind::Unavailable,
                 "cannot listen for operators on " + addressText(Endpoint_),
                 "free the port or change [operators] host and port"};
  Endpoint_.Port_ = static_cast<std::uint16_t>(Port);
  return Success{};
}

void OperatorServer::stop(Duration Grace) {
  if (!Server_)
    return;
  Server_->Shutdown(std::chrono::system_clock::now() + Grace);
  Server_->Wait();
  Server_.reset();
}

} // namespace laburnum
