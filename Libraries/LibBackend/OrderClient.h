#pragma once

#include <LibBackend/FencedOrder.h>
#include <LibCore/Time.h>
#include <LibModel/BackendServer.h>

namespace laburnum {

/// Sends orders to model engines.
class OrderClient {
public:
  virtual ~OrderClient() = default;

  /// Blocks for at most Timeout. Returns Failed without sending anything if the
  /// order could not be sent before SendBefore, as another instance may hold
  /// the lease by then.
  virtual EngineOrderOutcome send(BackendServer const &Server,
                                  FencedOrder const &Order,
                                  TimePoint SendBefore, Duration Timeout) = 0;
};

} // namespace laburnum
