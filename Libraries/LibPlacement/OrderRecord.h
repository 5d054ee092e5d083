#pragma once

#include <LibCore/Result.h>
#include <LibPlacement/PlacementPlanner.h>
#include <LibPlatform/ObjectStore.h>

#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

/// The state of an order for a server. Started is recorded only after the
/// server has started. Requested and Stopping are recorded before the cloud is
/// called, so that the next lease holder can complete the call.
enum class OrderState { Requested, Started, Stopping };

/// A server that the controller ordered. The order's identifier does not depend
/// on the lease holder, so that sending the order again starts no second
/// server.
struct ServerOrder {
  std::string OrderId_;
  ServiceName Service_;
  PlacementSlot Slot_;
  OrderState State_ = OrderState::Requested;
  ServerId Server_; ///< Empty while the state is Requested.

  auto operator<=>(ServerOrder const &) const = default;
};

/// All current orders, stored as one object on the platform.
struct OrderRecord {
  std::uint64_t NextNumber_ = 0; ///< For the next order's identifier.
  std::vector<ServerOrder> Orders_;

  auto operator<=>(OrderRecord const &) const = default;
};

/// The key of the order record.
ObjectKey orderRecordKey();

/// Adds an order in state Requested.
void addOrder(OrderRecord &Record, ServiceName const &Owner,
              PlacementSlot const &Slot);

std::string encodeOrders(OrderRecord const &Value);
/// Fails with InvalidArgument when the text is not an encoded record. An empty
/// text decodes to an empty record.
Result<OrderRecord> decodeOrders(std::string const &Json);

} // namespace laburnum
