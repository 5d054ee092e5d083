#pragma once

#include <LibBackend/OrderClient.h>

#include <string>

namespace laburnum {

/// The body of a POST to /orders.
std::string encodeJson(FencedOrder const &Order);

/// Sends orders over HTTP, each on a new connection. Thread-safe.
class HttpOrderClient : public OrderClient {
public:
  EngineOrderOutcome send(BackendServer const &Server, FencedOrder const &Order,
                          TimePoint SendBefore, Duration Timeout) override;
};

} // namespace laburnum
