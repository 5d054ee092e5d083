#pragma once

#include <LibBackend/OrderClient.h>

#include <string>

namespace laburnum {

/// The body of POST /orders.
std::string encodeJson(FencedOrder const &Order);

/// Gives orders over HTTP, each on a connection of its own. Several threads
/// may call at once.
class HttpOrderClient : public OrderClient {
public:
  EngineOrderOutcome send(BackendServer const &Server, FencedOrder const &Order,
                          TimePoint SendBefore, Duration Timeout) override;
};

} // namespace laburnum
