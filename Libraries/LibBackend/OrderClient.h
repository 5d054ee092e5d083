#pragma once

#include <LibBackend/FencedOrder.h>
#include <LibCore/Time.h>
#include <LibModel/BackendServer.h>

namespace laburnum {

/// Gives orders to model engines.
class OrderClient {
public:
  virtual ~OrderClient() = default;

  /// Blocks for at most Timeout. Failed without sending anything when the
  /// order would be sent at SendBefore or later: the right to give it may be
  /// another's by then.
  virtual EngineOrderOutcome send(BackendServer const &Server,
                                  FencedOrder const &Order,
                                  TimePoint SendBefore, Duration Timeout) = 0;
};

} // namespace laburnum
